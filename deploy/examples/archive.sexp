; A museum media archive: two classes that may both be set up again, reports in every answer.
(front
  (name "archive-1")
  (listen "127.0.0.1:7700")
  (fleet 3) (me 0)
  (list (consul "127.0.0.1:8500") (service "media"))
  (state "state/archive-1"))

(service
  (ladder (rung 200 0.20) (rung 320 0.40) (rung 500 0.55) (rung 800 0.72) (rung 1300 0.86) (rung 2100 1))
  (classes
    (class "research" (aim 1s) (deadline 4s) (worth 3))
    (class "public" (aim 1s) (deadline 5s) (worth 1)))
  (tenants (tenant "museo-uno" (per-second 4)) (tenant "museo-dos" (per-second 1)))
  (kinds (kind "three-core" (slots 40)))
  (zones "centro") (zone "centro")
  (cells 12) (racks 2) (weight-kb 3800) (rack-kb 30000) (fleet-kb 45000)
  (reports link uplink) (reports-inline yes) (may-probe yes)
  (notes-late 700ms) (tell-every 3s) (stall-cost 8) (change-cost 0.5)
  (max-attempts 5) (retry-after-most 2s) (connect-wait 250ms) (drain-grace 250ms)
  (price-move 0.04) (price-probe 0.01) (late-fail 0.04) (over-share 0.2)
  (cold (span 12s) (from 0.4) (times 3) (over 3s)))

(titles
  (title "guide-ceramics" (home 0) (copies 3))
  (title "guide-gold" (home 4) (copies 5)))
