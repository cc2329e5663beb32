use load_test::results::report_to_html;

#[test]
fn a_page_keeps_tables_lists_and_verdicts_apart_and_escapes_them() {
    let html = report_to_html(
        "# a < b\n\n```\nBROKEN <x>\n```\n- one\n| ms | count |\n| --- | --- |\n| a & b | 1 |\nend",
    );
    for part in [
        "<h1>a &lt; b</h1>",
        "BROKEN &lt;x&gt;",
        "<div>one</div>",
        "<td>a &amp; b</td>",
        "</table>\n<p>end",
    ] {
        assert!(html.contains(part), "{part} in {html}");
    }
    assert!(!html.contains("---"));
}
