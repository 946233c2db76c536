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

// This file loads and checks the catalogue, and runs a front's background work on one scheduler that yields to
// requests.

// loadCatalogue loads the catalogue at the start: from its source, or the saved copy if the source can't be read or is
// older.
func (s *Server) loadCatalogue() error {
	if s.cfg.Front.CatalogueDir == "" {
		return nil
	}
	s.catalogueDir = &catalogue.Dir{Path: s.cfg.Front.CatalogueDir}
	v, err := s.catalogueDir.Load()
	if saved := s.savedCatalogueDir(); saved != nil {
		if previous, savedErr := saved.Load(); savedErr == nil && (err != nil || previous.Number > v.Number) {
			if err != nil {
				s.log.Error().Err(err).Uint64("version", previous.Number).Msg("catalogue not had: as last kept")
			}
			v, err = previous, nil
		}
	}
	if err != nil {
		return fmt.Errorf("no usable catalogue: %w", err)
	}
	s.cfg.Catalogue = catalogue.New(v)
	s.log.Info().Uint64("version", v.Number).Int("titles", v.Len()).Msg("catalogue")
	return nil
}

// savedCatalogueDir returns the directory of the saved catalogue, nil if there is none.
func (s *Server) savedCatalogueDir() *catalogue.Dir {
	if s.cfg.Front.StateDir == "" {
		return nil
	}
	return &catalogue.Dir{Path: s.cfg.Front.StateDir}
}

const (
	catalogueCheckInterval = policy.Time(200 * time.Millisecond)
	catalogueSaveInterval  = policy.Time(30 * time.Second)
)

// startBackground starts the background work.
func (s *Server) startBackground(ctx context.Context) {
	s.scheduler = background.New(s.now, func() plan.Pressure {
		return plan.Pressure{Backlog: int(s.queueLength.Load()), Wait: s.lastRoundNanos.Load()}
	})
	if s.cfg.Catalogue != nil {
		s.scheduler.Add(plan.Task{Name: "catalogue", Interval: catalogueCheckInterval,
			Deadline: 2 * policy.Second, Priority: 2}, s.checkCatalogue)
		if s.savedCatalogueDir() != nil {
			s.scheduler.Add(plan.Task{Name: "snapshot", Interval: catalogueSaveInterval,
				Deadline: 5 * 60 * policy.Second}, s.saveCatalogue)
		}
	}
	s.group.Add(1)
	go func() { defer s.group.Done(); s.scheduler.Run(ctx) }()
}

// checkCatalogue applies changes of the catalogue's files.
func (s *Server) checkCatalogue(context.Context, time.Duration) (bytes int, done bool) {
	changed, err := s.catalogueDir.Poll(s.cfg.Catalogue)
	if err != nil {
		s.log.Error().Err(err).Uint64("version", s.cfg.Catalogue.Current().Number).Msg("catalogue not changed")
	}
	if changed {
		s.log.Info().Uint64("version", s.cfg.Catalogue.Current().Number).
			Int("titles", s.cfg.Catalogue.Current().Len()).Msg("catalogue")
	}
	return 0, true
}

// saveCatalogue saves the current version, if it is not the one saved last.
func (s *Server) saveCatalogue(context.Context, time.Duration) (bytes int, done bool) {
	version := s.cfg.Catalogue.Current()
	if version.Number == s.savedVersion {
		return 0, true
	}
	dir := s.savedCatalogueDir()
	if err := dir.Deliver("full.cat", version.Write); err != nil {
		s.log.Warn().Err(err).Str("in", filepath.Clean(dir.Path)).Msg("saving the catalogue failed")
		return 0, true
	}
	s.savedVersion = version.Number
	return version.Len() * 64, true
}
