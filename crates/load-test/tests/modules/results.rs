use load_test::results::report_to_html;

#[test]
fn html_is_escaped_and_structured_when_a_report_has_tables_and_lists() {
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
