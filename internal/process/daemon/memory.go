package daemon

import (
	"io/fs"
	"math"
	"path"
	"runtime/debug"
	"strconv"
	"strings"

	"github.com/egretreach/egretreach/internal/process/httpserver"
)

const (
	// runtimeShare and runtimeParts are the share of its memory that the Go runtime of the process may take. The rest is for the pages of
	// the binary and for what else runs on the host.
	runtimeShare, runtimeParts = 3, 4
	// callerShare is the share of the memory, as its divisor, that connections and headers of callers may take by default, and the same
	// again for bodies that no setting bounds.
	callerShare = 8
	// callerParts divides a caller_memory without a body_memory among connections with headers and bodies.
	callerParts = 2
)

// availableMemory returns the lower of the machine's memory and the limits of the process's control groups, in bytes. It returns 0 if
// neither can be read from root, the root of the file system.
func availableMemory(root fs.FS) int64 {
	least := int64(math.MaxInt64)
	if total, ok := totalMemory(root); ok {
		least = total
	}
	for _, file := range groupLimitFiles(root) {
		text, err := fs.ReadFile(root, file)
		if err != nil {
			continue
		}
		if limit, err := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64); err == nil && limit > 0 {
			least = min(least, limit)
		}
	}
	if least == math.MaxInt64 {
		return 0
	}
	return least
}

// totalMemory returns the memory of the machine.
func totalMemory(root fs.FS) (int64, bool) {
	text, err := fs.ReadFile(root, "proc/meminfo")
	if err != nil {
		return 0, false
	}
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) < 2 || fields[0] != "MemTotal:" {
			continue
		}
		kilobytes, err := strconv.ParseInt(fields[1], 10, 64)
		return kilobytes << 10, err == nil && kilobytes > 0
	}
	return 0, false
}

const (
	groupRoot       = "sys/fs/cgroup"
	groupLimit      = "memory.max"
	oldGroupRoot    = "sys/fs/cgroup/memory"
	oldGroupLimit   = "memory.limit_in_bytes"
	unifiedPrefix   = "0::"
	oldMemoryPrefix = ":memory:"
)

// groupLimitFiles returns the files that may hold limits of the process's control group and the groups around it.
func groupLimitFiles(root fs.FS) []string {
	text, err := fs.ReadFile(root, "proc/self/cgroup")
	if err != nil {
		return nil
	}
	var files []string
	for line := range strings.Lines(string(text)) {
		line = strings.TrimSpace(line)
		if group, ok := strings.CutPrefix(line, unifiedPrefix); ok {
			files = append(files, filesUpwards(groupRoot, group, groupLimit)...)
		}
		if _, group, ok := strings.Cut(line, oldMemoryPrefix); ok {
			files = append(files, filesUpwards(oldGroupRoot, group, oldGroupLimit)...)
		}
	}
	return files
}

// filesUpwards returns the paths of a file in a group and in all groups around it.
func filesUpwards(root, group, file string) []string {
	group = path.Join("/", group)
	var files []string
	for ; group != "/"; group = path.Dir(group) {
		files = append(files, path.Join(root, group, file))
	}
	return append(files, path.Join(root, file))
}

// setMemoryLimit tells the Go runtime the memory of the process, unless its environment has done so or the memory isn't known.
func setMemoryLimit(memory int64) {
	if memory > 0 && debug.SetMemoryLimit(-1) == math.MaxInt64 {
		debug.SetMemoryLimit(memory / runtimeParts * runtimeShare)
	}
}

// budgetOptions returns the limits of callers for a process with a memory, of which 0 isn't known. callerMemory is the setting
// caller_memory, of which 0 is the default, and bodyMemory the part of it for bodies that the daemon bounds by itself, or 0.
func budgetOptions(memory, callerMemory, bodyMemory int64) httpserver.BudgetOptions {
	switch {
	case callerMemory > 0 && bodyMemory > 0:
		return httpserver.BudgetOptions{Memory: max(callerMemory-bodyMemory, httpserver.MinCallerMemory)}
	case callerMemory > 0:
		part := max(callerMemory/callerParts, httpserver.MinCallerMemory)
		return httpserver.BudgetOptions{Memory: part, BodyMemory: part}
	case memory > 0:
		part := max(memory/callerShare, httpserver.MinCallerMemory)
		return httpserver.BudgetOptions{
			Memory: min(part, httpserver.DefaultCallerMemory), BodyMemory: min(part, httpserver.DefaultBodyMemory),
		}
	}
	return httpserver.BudgetOptions{}
}
