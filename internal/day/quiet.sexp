; The built-in day without faults: two fronts and twelve media servers. Load runs use it if no script is given.
(day
  (seed 5) (length 20s) (fronts 2) (servers 12) (titles 24) (copies 5) (rate 10) (watch 2s 5s)
  (media (slots 400) (link-kb 90000) (uplink-kb 400000) (setup 2ms) (report 200ms) (keep 1s)))
(service
  (ladder (rung 200 0.22) (rung 320 0.42) (rung 500 0.58) (rung 800 0.74) (rung 1300 0.88) (rung 2000 1))
  (classes
    (class "research" (aim 1s) (deadline 4s) (worth 3))
    (class "public" (aim 1s) (deadline 4s) (worth 1)))
  (kinds (kind "std" (slots 400)))
  (zones "centro") (zone "centro")
  (cells 12) (racks 2) (weight-kb 90000) (rack-kb 400000) (fleet-kb 1000000)
  (reports link uplink) (reports-inline yes) (may-probe yes)
  (notes-late 600ms) (tell-every 2s) (stall-cost 8) (change-cost 0.5)
  (max-attempts 5) (retry-after-most 1500ms) (connect-wait 250ms) (drain-grace 250ms)
  (price-move 0.04) (price-probe 0.01) (late-fail 0.04)
  (cold (span 5s) (from 0.4) (times 3) (over 2s)))
