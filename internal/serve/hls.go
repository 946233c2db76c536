package serve

import (
	"strconv"
	"strings"

	"tealledge/decide/admission"
	"tealledge/internal/front"
	"tealledge/internal/manifest"
)

// hlsOwner implements manifest.Owner for the server.
type hlsOwner struct{ s *Server }

func (o hlsOwner) Now() front.Time { return o.s.now() }

// Open asks the rate limiter, as session.open does, and queues the request for the owner.
func (o hlsOwner) Open(c *manifest.Call, request front.Request) {
	if retryAfter, ok := owner(o).Admit(request.Class, request.Tenant); !ok {
		refuseBusy(c, retryAfter)
		return
	}
	o.s.open(c, request)
}

func (o hlsOwner) EndSession(session uint64) { o.s.queue.Put(admission.Outcome, endRequested{session}) }

func (o hlsOwner) SessionID(name string) (uint64, bool) {
	text, ok := strings.CutPrefix(name, o.s.cfg.Front.Name+"-")
	n, err := strconv.ParseUint(text, 10, 64)
	return n, ok && err == nil
}

func (o hlsOwner) ParseMoveToken(v any) uint64 {
	text, _ := v.(string)
	n, _ := strconv.ParseUint(text, 16, 64)
	return n
}
