package serve

import (
	"strconv"
	"strings"

	"tealledge/decide/admission"
	"tealledge/internal/front"
	"tealledge/internal/manifest"
)

// hlsOwner is the manifest hub's view of the server.
type hlsOwner struct{ s *Server }

func (o hlsOwner) Now() front.Time { return o.s.now() }

// Open asks the gate as a session.open does, and hands the request to the owner.
func (o hlsOwner) Open(c *manifest.Call, ask front.Request) {
	if after, ok := (owner{o.s}).Admit(ask.Class, ask.Tenant); !ok {
		busy(c, after)
		return
	}
	o.s.open(c, ask)
}

func (o hlsOwner) End(session uint64) { o.s.queue.Put(admission.Outcome, ended{session}) }

func (o hlsOwner) Number(name string) (uint64, bool) {
	text, ok := strings.CutPrefix(name, o.s.cfg.Front.Name+"-")
	n, err := strconv.ParseUint(text, 10, 64)
	return n, ok && err == nil
}

func (o hlsOwner) MovedToken(v any) uint64 {
	text, _ := v.(string)
	n, _ := strconv.ParseUint(text, 16, 64)
	return n
}
