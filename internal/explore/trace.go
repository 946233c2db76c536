package explore

// recordViolation records a violation, if it is the first, and minimizes its trace: choices are removed as long as
// the same violation occurs without them.
func (s *search) recordViolation(path []uint8, violation string) {
	s.stopped.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.report.Violation != "" {
		return
	}
	labels := pathLabels(s.newSystem, path)
	for shortened := true; shortened; {
		shortened = false
		for i := range labels {
			shorter := append(append([]string(nil), labels[:i]...), labels[i+1:]...)
			if gotViolation, ok := Replay(s.newSystem, shorter); ok && gotViolation == violation {
				labels, shortened = shorter, true
				break
			}
		}
	}
	s.report.Violation, s.report.Trace = violation, labels
}

// pathLabels returns the labels of the choices of a path.
func pathLabels(newSystem func() System, path []uint8) (labels []string) {
	sys := newSystem()
	for _, c := range path {
		labels = append(labels, sys.Label(int(c)))
		sys.Take(int(c))
	}
	return labels
}

// FindChoice returns the choice with a label, -1 if it is not enabled.
func FindChoice(sys System, label string) int {
	for i := range sys.Choices() {
		if sys.Label(i) == label {
			return i
		}
	}
	return -1
}

// Replay takes choices by label and returns the violation that occurs, "" if none does. ok is false if a choice is not
// enabled.
func Replay(newSystem func() System, labels []string) (violation string, ok bool) {
	sys := newSystem()
	for _, label := range labels {
		choice := FindChoice(sys, label)
		if choice < 0 {
			return "", false
		}
		sys.Take(choice)
		if violated := sys.Violation(); violated != "" {
			return violated, true
		}
	}
	return "", true
}
