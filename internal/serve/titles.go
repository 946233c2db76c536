package serve

import (
	"context"
	"fmt"
	"path/filepath"
	"time"

	plan "tealledge/decide/schedule"
	"tealledge/internal/background"
	"tealledge/internal/catalogue"
	"tealledge/policy"
)

// The catalogue in service, and the background work of a front: both run on one scheduler that yields to requests.

// titles loads the catalogue at the start: from its source, or, if that can't be had or is older, as last kept.
func (s *Server) titles() error {
	if s.cfg.Front.CatalogueDir == "" {
		return nil
	}
	s.titleDir = &catalogue.Dir{Path: s.cfg.Front.CatalogueDir}
	v, err := s.titleDir.Load()
	if kept := s.keptDir(); kept != nil {
		if old, wrong := kept.Load(); wrong == nil && (err != nil || old.Number > v.Number) {
			if err != nil {
				s.log.Error().Err(err).Uint64("version", old.Number).Msg("catalogue not had: as last kept")
			}
			v, err = old, nil
		}
	}
	if err != nil {
		return fmt.Errorf("no catalogue to serve by: %w", err)
	}
	s.cfg.Catalogue = catalogue.New(v)
	s.log.Info().Uint64("version", v.Number).Int("titles", v.Len()).Msg("catalogue")
	return nil
}

// keptDir is where the last catalogue is kept, nil if nowhere.
func (s *Server) keptDir() *catalogue.Dir {
	if s.cfg.Front.StateDir == "" {
		return nil
	}
	return &catalogue.Dir{Path: s.cfg.Front.StateDir}
}

const (
	lookEvery = policy.Time(200 * time.Millisecond)
	keepEvery = policy.Time(30 * time.Second)
)

// background starts the background work.
func (s *Server) background(ctx context.Context) {
	s.work = background.New(s.now, func() plan.Pressure {
		return plan.Pressure{Backlog: int(s.waiting.Load()), Wait: s.waitedFor.Load()}
	})
	if s.cfg.Catalogue != nil {
		s.work.Add(plan.Task{Name: "catalogue", Interval: lookEvery, Deadline: 2 * policy.Second, Priority: 2}, s.lookAtTitles)
		if s.keptDir() != nil {
			s.work.Add(plan.Task{Name: "snapshot", Interval: keepEvery, Deadline: 5 * 60 * policy.Second}, s.keepTitles)
		}
	}
	s.group.Add(1)
	go func() { defer s.group.Done(); s.work.Run(ctx) }()
}

func (s *Server) lookAtTitles(context.Context, time.Duration) (bytes int, done bool) {
	changed, err := s.titleDir.Look(s.cfg.Catalogue)
	if err != nil {
		s.log.Error().Err(err).Uint64("version", s.cfg.Catalogue.Now().Number).Msg("catalogue not changed")
	}
	if changed {
		s.log.Info().Uint64("version", s.cfg.Catalogue.Now().Number).Int("titles", s.cfg.Catalogue.Now().Len()).Msg("catalogue")
	}
	return 0, true
}

// keepTitles writes the version in force, if it is not the one kept last.
func (s *Server) keepTitles(context.Context, time.Duration) (bytes int, done bool) {
	v := s.cfg.Catalogue.Now()
	if v.Number == s.keptTitles {
		return 0, true
	}
	dir := s.keptDir()
	if err := dir.Deliver("full.cat", v.Write); err != nil {
		s.log.Warn().Err(err).Str("in", filepath.Clean(dir.Path)).Msg("catalogue not kept")
		return 0, true
	}
	s.keptTitles = v.Number
	return v.Len() * 64, true
}
