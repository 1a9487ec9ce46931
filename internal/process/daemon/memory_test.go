package daemon

import (
	"testing"
	"testing/fstest"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/process/httpserver"
)

// TestAvailableMemoryIsTheLowestLimit guards against a process that is killed because it goes by the memory of the machine although its
// control group, or one around it, allows less.
func TestAvailableMemoryIsTheLowestLimit(t *testing.T) {
	const machine = "MemFree: 5 kB\nMemTotal:  290816 kB\n"
	for name, c := range map[string]struct {
		files map[string]string
		want  int64
	}{
		"nothing can be read": {nil, 0},
		"machine":             {map[string]string{"proc/meminfo": machine}, 284 << 20},
		"group":               {map[string]string{"proc/meminfo": machine, "proc/self/cgroup": "0::/a/b\n", "sys/fs/cgroup/a/b/memory.max": "142606336\n"}, 136 << 20},
		"group around it": {map[string]string{
			"proc/meminfo": machine, "proc/self/cgroup": "0::/a/b\n", "sys/fs/cgroup/a/b/memory.max": "max\n",
			"sys/fs/cgroup/a/memory.max": "142606336\n",
		}, 136 << 20},
		"group without a name": {map[string]string{"proc/meminfo": machine, "proc/self/cgroup": "0::/\n", "sys/fs/cgroup/memory.max": "142606336\n"}, 136 << 20},
		"group of version 1": {map[string]string{
			"proc/meminfo": machine, "proc/self/cgroup": "4:memory:/a\n", "sys/fs/cgroup/memory/a/memory.limit_in_bytes": "142606336\n",
		}, 136 << 20},
		"group that allows more": {map[string]string{"proc/meminfo": machine, "proc/self/cgroup": "0::/a\n", "sys/fs/cgroup/a/memory.max": "9223372036854771712\n"}, 284 << 20},
		"not understood":         {map[string]string{"proc/meminfo": "MemTotal: many\n", "proc/self/cgroup": "?\n"}, 0},
	} {
		files := fstest.MapFS{}
		for path, text := range c.files {
			files[path] = &fstest.MapFile{Data: []byte(text)}
		}
		require.Equal(t, c.want, availableMemory(files), name)
	}
}

// TestCallersGetAShareOfTheMemory guards against defaults that a small host can't hold, and against ones that hundreds of ordinary callers
// reach.
func TestCallersGetAShareOfTheMemory(t *testing.T) {
	const ordinary = 500 * (16 << 10)
	for name, c := range map[string]struct{ memory, callers, bodies, want, wantBodies int64 }{
		"unknown memory":     {0, 0, 0, 0, 0},
		"large host":         {32 << 30, 0, 0, httpserver.DefaultCallerMemory, httpserver.DefaultBodyMemory},
		"small host":         {136 << 20, 0, 0, 17 << 20, 17 << 20},
		"set":                {136 << 20, 40 << 20, 0, 20 << 20, 20 << 20},
		"set with bodies":    {136 << 20, 40 << 20, 32 << 20, 8 << 20, 0},
		"set too low":        {136 << 20, 1 << 20, 32 << 20, httpserver.MinCallerMemory, 0},
		"unknown but set":    {0, 40 << 20, 0, 20 << 20, 20 << 20},
		"default and bodies": {136 << 20, 0, 32 << 20, 17 << 20, 17 << 20},
	} {
		got := budgetOptions(c.memory, c.callers, c.bodies)
		require.Equal(t, httpserver.BudgetOptions{Memory: c.want, BodyMemory: c.wantBodies}, got, name)
		if c.memory > 0 && c.callers == 0 {
			require.Greater(t, got.Memory, int64(ordinary), name)
		}
	}
}
