//! Path templates: a segment in braces matches any one non-empty segment.

/// Characters that end a path in a URI, and the space.
const PATH_END: [char; 3] = ['?', '#', ' '];

/// Returns whether `path` matches `template`; `path` may itself be a template.
pub(super) fn matches(template: &str, path: &str) -> bool {
    let mut wanted = template.split('/');
    let mut given = path.split('/');
    loop {
        match (wanted.next(), given.next()) {
            (None, None) => return true,
            (Some(want), Some(have)) if segment_matches(want, have) => {}
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

fn segment_matches(want: &str, have: &str) -> bool {
    let is_variable = want.starts_with('{') && want.ends_with('}');
    want == have || (is_variable && !have.is_empty())
}
