package harness

import (
	"fmt"
	"path/filepath"
	"strings"
)

// domains is the number of failure domains of a cluster.
const domains = 3

// settings returns the text of the INI file of a process.
func (c *Cluster) settings(name string) string {
	var n int
	_, _ = fmt.Sscanf(name[1:], "%d", &n) // can't fail: procName makes all names
	vm := map[byte]string{'c': "ctl", 'a': "vm", 'e': "entry"}[name[0]] + name[1:]
	place := fmt.Sprintf("[place]\nvm = %s\ndomain = d%d\nregion = r1\nrack = k%d\n", vm, (n-1)%domains+1, (n-1)/domains+1)
	switch name[0] {
	case 'c':
		return place + c.controlSettings(name)
	case 'a':
		return place + c.agentSettings(name)
	}
	return place + fmt.Sprintf("[entry]\nname = %s\nlisten = 127.0.0.1:0\nadmin = 127.0.0.1:0\ncontrol = %s\nbeat = %v\nleave_grace = %v\npicker = %s\n",
		name, strings.Join(c.addrs(name), ","), c.opt.HeartbeatInterval, c.opt.LeaveGrace, c.opt.Picker)
}

func (c *Cluster) controlSettings(self string) string {
	var peers, dial []string
	for i := range c.opt.Controls {
		n := procName("c", i)
		peers = append(peers, n+"="+c.Link("op", n).Addr())
		if n != self {
			dial = append(dial, n+"="+c.Link(self, n).Addr())
		}
	}
	s := fmt.Sprintf("[control]\nname = %s\nlisten = 127.0.0.1:0\nadmin = 127.0.0.1:0\ngroup = test\ndata = %s\npeers = %s\nelection_timeout = %v\nheartbeat = %v\nlease = %v\nclock_bound = 500ms\nsnapshot_every = %d\nplatform = %s\n",
		self, filepath.Join(c.dir, self, "data"), strings.Join(peers, ","), c.opt.ElectionTimeout, c.opt.ElectionTimeout/5, c.opt.Lease, c.opt.SnapshotEvery, c.Link(self, "platform").Addr())
	if len(dial) > 0 {
		s += "dial = " + strings.Join(dial, ",") + "\n"
	}
	return s
}

func (c *Cluster) agentSettings(name string) string {
	num := name[1:]
	return fmt.Sprintf("[agent]\nname = %s\nlisten = 127.0.0.1:0\nadvertise = %s\nadmin = 127.0.0.1:0\ncontrol = %s\nbeat = %v\nupstreams = %s=%s\n[worker]\naddr = %s\ncpu_milli = %d\nmemory_mb = %d\nreserved_cpu_milli = %d\n",
		name, c.Link("e", name).Addr(), strings.Join(c.addrs(name), ","), c.opt.HeartbeatInterval, c.opt.Service,
		c.Link(name, "u"+num).Addr(), c.Link(name, "w"+num).Addr(), c.opt.CPU, c.opt.Memory, c.opt.Reserved)
}
