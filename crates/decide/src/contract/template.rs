//! Path templates: a segment in braces matches any one non-empty segment.

/// Characters that end a path in a URI, and the space.
const PATH_END: [char; 3] = ['?', '#', ' '];

/// Returns whether `path` matches `template`; `path` may itself be a template.
pub(super) fn matches(template: &str, path: &str) -> bool {
    let mut expected = template.split('/');
    let mut actual = path.split('/');
    loop {
        match (expected.next(), actual.next()) {
            (None, None) => return true,
            (Some(expected), Some(actual)) if segment_matches(expected, actual) => {}
            _ => return false,
        }
    }
}

/// Returns the first fault of `template`.
pub(super) fn check(template: &str) -> Result<(), String> {
    if !template.starts_with('/') {
        return Err("must start with a slash".to_owned());
    }
    if template.contains(PATH_END) {
        return Err("must be a path without query, fragment or space".to_owned());
    }
    template.split('/').try_for_each(check_segment)
}

fn check_segment(segment: &str) -> Result<(), String> {
    if !segment.contains(['{', '}']) {
        return Ok(());
    }
    let name = segment
        .strip_prefix('{')
        .and_then(|rest| rest.strip_suffix('}'));
    match name {
        Some(name) if !name.is_empty() && !name.contains(['{', '}']) => Ok(()),
        _ => Err(format!(
            "segment \"{segment}\" must be text or one name in braces"
        )),
    }
}

fn segment_matches(expected: &str, actual: &str) -> bool {
    let is_variable = expected.starts_with('{') && expected.ends_with('}');
    expected == actual || (is_variable && !actual.is_empty())
}
