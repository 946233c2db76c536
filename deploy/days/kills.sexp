; Six of thirteen fronts (46%) are killed at once and come back half a second later; the ten seconds after are what counts:
;   tealledge day deploy/days/kills.sexp                 with recovery
;   tealledge day --no-recover deploy/days/kills.sexp    restarted fronts know nothing, viewers come again
;   tealledge day --calm deploy/days/kills.sexp          nobody is killed
(day
  (seed 3) (length 16s) (fronts 13) (servers 12) (titles 24) (copies 5) (rate 50) (watch 8s 14s)
  (mix 0.6 0.2 0.2)
  (media (slots 200) (link-kb 90000) (uplink-kb 400000) (setup 4ms) (report 300ms) (keep 4s))
  (at 6s (kill-front (front 0) (for 500ms)))
  (at 6s (kill-front (front 1) (for 500ms)))
  (at 6s (kill-front (front 2) (for 500ms)))
  (at 6s (kill-front (front 3) (for 500ms)))
  (at 6s (kill-front (front 4) (for 500ms)))
  (at 6s (kill-front (front 5) (for 500ms))))
(service
  (ladder (rung 200 0.22) (rung 320 0.42) (rung 500 0.58) (rung 800 0.74) (rung 1300 0.88) (rung 2000 1))
  (classes
    (class "research" (aim 1s) (deadline 2s) (worth 3))
    (class "signed" (aim 1s) (deadline 2s) (worth 2) (effect paid) (seats 40))
    (class "review" (aim 1s) (deadline 2s) (worth 1) (floor 1)))
  (kinds (kind "std" (slots 200))) (zones "centro") (zone "centro")
  (cells 12) (racks 2) (weight-kb 90000) (rack-kb 400000) (fleet-kb 1000000)
  (reports link uplink) (reports-inline yes) (may-probe yes)
  (notes-late 600ms) (tell-every 2s) (stall-cost 8) (change-cost 0.5)
  (max-attempts 5) (retry-after-most 1500ms) (connect-wait 250ms) (drain-grace 250ms)
  (price-move 0.04) (price-probe 0.01) (late-fail 0.04)
  (cold (span 5s) (from 0.4) (times 3) (over 2s))
  (budget (spare 40) (ratio 0.5) (span 10s)))
