; Fund price briefings: one class is paid for at set-up and has seats; servers report only when probed and turn
; set-ups away when their link is asked for 1.2 times.
(front
  (name "briefings-1")
  (listen "127.0.0.1:7700")
  (fleet 2) (me 0)
  (list (consul "127.0.0.1:8500") (service "media"))
  (state "state/briefings-1"))

(service
  (ladder (rung 190 0.22) (rung 300 0.42) (rung 480 0.58) (rung 780 0.74) (rung 1200 0.87) (rung 1900 1))
  (classes
    (class "live-prices" (aim 1500ms) (deadline 5s) (worth 1) (live yes))
    (class "signed-replay" (aim 1500ms) (deadline 3s) (worth 2) (effect paid) (seats 8))
    (class "replay" (aim 1500ms) (deadline 4s) (worth 1) (top 3)))
  (kinds (kind "two-core" (slots 26)) (kind "three-core" (slots 39)))
  (cells 16) (racks 2) (weight-kb 3300) (rack-kb 28000) (fleet-kb 42000)
  (reports link uplink) (may-probe yes)
  (notes-late 700ms) (stall-cost 7) (change-cost 0.6) (full-from 1.2)
  (max-attempts 3) (retry-after-most 2s) (connect-wait 250ms) (drain-grace 250ms)
  (price-move 0.15) (price-probe 0.01) (late-fail 0.05)
  (cold (span 12s) (from 0.4) (times 2) (over 1500ms)))

(titles (title "close-prices" (home 0) (copies 6)) (title "rates-week" (home 6) (copies 4)))
