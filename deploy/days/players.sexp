; Five hundred players for a minute while servers, list and a front fail. Every class wants its answer within one
; second and gives up then:
;   tealledge load --script deploy/days/players.sexp --clients 500 --rate 60 --length 60s --shape classes --wait 1s --bad 0.05
(day
  (seed 21) (length 60s) (fronts 3) (servers 14) (titles 24) (copies 5)
  (mix 0.5 0.2 0.3)
  (media (slots 120) (link-kb 40000) (uplink-kb 180000) (uneven 0.2) (setup 4ms) (report 300ms) (keep 2s))
  (at 4s  (hang (servers 2) (for 6s)))
  (at 10s (errors (servers 2) (for 6s) (part 0.8)))
  (at 14s (crash (servers 2) (for 5s)))
  (at 18s (kill-front (front 1) (for 1500ms)))
  (at 20s (lose (servers 2) (for 6s) (part 0.7)))
  (at 26s (vanish (servers 2) (for 5s)))
  (at 30s (drain (servers 3) (notice 1s) (for 4s)))
  (at 34s (half (servers 2) (for 5s)))
  (at 38s (list-empty (for 2s)))
  (at 40s (garbage (servers 1) (for 4s)))
  (at 44s (hang (servers 5) (for 4s)))
  (at 50s (sag (rack 1) (for 5s) (part 0.5)))
  (at 52s (list-rewind)))
(service
  (ladder (rung 200 0.22) (rung 320 0.42) (rung 500 0.58) (rung 800 0.74) (rung 1300 0.88) (rung 2000 1))
  (classes
    (class "research" (aim 1s) (deadline 1s) (worth 3))
    (class "signed" (aim 1s) (deadline 1s) (worth 2) (effect paid) (seats 40))
    (class "review" (aim 1s) (deadline 1s) (worth 1) (floor 1)))
  (kinds (kind "std" (slots 120))) (zones "centro") (zone "centro")
  (cells 14) (racks 2) (weight-kb 40000) (rack-kb 180000) (fleet-kb 560000)
  (reports link uplink) (reports-inline yes) (may-probe yes)
  (notes-late 600ms) (tell-every 2s) (stall-cost 8) (change-cost 0.5)
  (max-attempts 5) (retry-after-most 1500ms) (connect-wait 250ms) (drain-grace 250ms)
  (price-move 0.04) (price-probe 0.01) (late-fail 0.04)
  (cold (span 5s) (from 0.4) (times 3) (over 2s))
  (budget (spare 40) (ratio 0.5) (span 10s)))
