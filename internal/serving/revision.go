package serving

import "runtime/debug"

// revision returns the commit that this program was built from, or "unknown" if the build didn't
// record it. "+" marks a tree with changes that weren't committed.
func revision() string {
	info, read := debug.ReadBuildInfo()
	if !read {
		return "unknown"
	}
	commit, changed := "unknown", ""
	for _, setting := range info.Settings {
		switch {
		case setting.Key == "vcs.revision":
			commit = setting.Value
		case setting.Key == "vcs.modified" && setting.Value == "true":
			changed = "+"
		}
	}
	return commit + changed
}
