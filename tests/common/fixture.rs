//! Fixtures of encoded bytes: text files with one case per line, `name value`. Lines that begin with `#` are
//! comments.
#![allow(dead_code, reason = "no test file uses all of these items")]

/// Names and values of a fixture's cases, in the order of the file.
pub fn cases(fixture: &str) -> Vec<(&str, &str)> {
    let lines = fixture.lines().filter(|line| !line.is_empty() && !line.starts_with('#'));
    lines
        .map(|line| {
            line.split_once(' ')
                .unwrap_or_else(|| panic!("fixture line {line:?} has no value after the name"))
        })
        .collect()
}

/// Asserts that a fixture holds exactly these names and values, in this order.
pub fn assert_recorded<N: AsRef<str>>(fixture: &str, encoded: &[(N, String)]) {
    let line = |name: &str, value: &str| format!("{name} {value}\n");
    let expected: String = cases(fixture).iter().map(|(name, value)| line(name, value)).collect();
    let actual: String = encoded.iter().map(|(name, value)| line(name.as_ref(), value)).collect();
    assert!(expected == actual, "encoded:\n{actual}recorded in the fixture:\n{expected}");
}

/// The bytes of a case whose value is hex.
pub fn recorded(fixture: &str, name: &str) -> Vec<u8> {
    let case = cases(fixture).into_iter().find(|(case_name, _)| *case_name == name);
    unhex(case.unwrap_or_else(|| panic!("the fixture has no case {name}")).1)
}

/// Bytes as lower-case hex.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Bytes from hex as written by [`hex`].
pub fn unhex(text: &str) -> Vec<u8> {
    let byte = |at: usize| text.get(at..at + 2).and_then(|pair| u8::from_str_radix(pair, 16).ok());
    let byte_or_panic =
        |at| byte(at).unwrap_or_else(|| panic!("no two hex digits at offset {at} of {text:?}"));
    (0..text.len()).step_by(2).map(byte_or_panic).collect()
}
