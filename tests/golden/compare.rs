//! Compares text that a test has built anew with a golden file of this folder; shared by the packages' tests.

use std::path::PathBuf;

/// The golden file's path, given the manifest folder of a package under `crates`.
fn path_of(manifest_folder: &str, name: &str) -> PathBuf {
    PathBuf::from(manifest_folder).join("../../tests/golden").join(name)
}

/// Writes the golden file where `RECORD_GOLDEN_FILES` is set; then compares, and names the first line that differs.
pub fn compare(manifest_folder: &str, name: &str, built: &str) {
    let path = path_of(manifest_folder, name);
    if std::env::var_os("RECORD_GOLDEN_FILES").is_some() {
        std::fs::create_dir_all(path.parent().expect("a file in a folder")).expect("the folder is made");
        std::fs::write(&path, built).expect("the golden file is written");
    }
    let golden = std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{name} cannot be read: {e}"));
    if golden == built {
        return;
    }
    let (golden, built): (Vec<&str>, Vec<&str>) = (golden.split('\n').collect(), built.split('\n').collect());
    let lines = golden.len().max(built.len());
    let line = |text: &[&str], at: usize| text.get(at).map_or("(no line)".to_string(), |l| l.to_string());
    let first = (0..lines).find(|at| golden.get(*at) != built.get(*at)).expect("the texts differ");
    let (was, is) = (line(&golden, first), line(&built, first));
    panic!("{name}, line {}:\n  golden: {was}\n  built:  {is}", first + 1);
}
