use fake_hosts::fleet::Command;
use load_test::faults::{marks, timetable, Action, Mark};
use load_test::scenario::Scenario;
use std::path::Path;

#[test]
fn actions_are_ordered_by_time_when_faults_overlap() {
    let text =
        "name = 'x'\nlength_s = 20\n[traffic]\n[[traffic.shape]]\nkind = 'steady'\nrate = 1\n\
        [clients]\nnotice_s = [2.0, 2.0]\n\
        [[fault]]\nat_s = 5\nkind = 'coordinator-restart'\nwhich = [1]\nfor_s = 1\n\
        [[fault]]\nat_s = 2\nkind = 'host-release'\nwhich = [3]\nfor_s = 8\n\
        [[fault]]\nat_s = 1\nkind = 'coordinator-kill'\nwhich = [0]\nfor_s = 0.5\n";
    let s = Scenario::parse(text, Path::new("x.toml")).unwrap();
    let ms = |at: u64| at * 1000;
    let fleet = Action::Fleet;
    assert_eq!(
        timetable(&s),
        [
            (ms(1000), Action::Kill(0)),
            (ms(1500), Action::Start(0)),
            (ms(2000), fleet(Command::Drain(3))),
            (ms(3000), Action::Noticed(0)),
            (ms(5000), Action::Terminate(1)),
            (ms(6000), fleet(Command::Crash(3))),
            (ms(7000), Action::Noticed(1)),
            // 3 s and 0.7 s after SIGTERM, though the scenario says 1 s.
            (ms(8700), Action::Kill(1)),
            (ms(8800), Action::Start(1)),
            (ms(10_000), fleet(Command::Start(3))),
        ]
    );
    assert_eq!(
        marks(&s)[0],
        Mark {
            at_s: 5.0,
            to_s: 6.0,
            what: "coordinator-restart 1".into()
        }
    );
}
