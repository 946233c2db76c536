; Quote walkthroughs in three rooms: one class is never played on the lowest rung; servers report the use of
; their own link only.
(front
  (name "quotes-1")
  (listen "127.0.0.1:7700")
  (fleet 3) (me 0)
  (list (file "servers.sexp"))
  (state "state/quotes-1"))

(service
  (ladder (rung 190 0.22) (rung 320 0.45) (rung 560 0.66) (rung 1000 0.85) (rung 1700 1))
  (classes
    (class "walkthrough" (aim 1500ms) (deadline 5s) (worth 1))
    (class "review" (aim 800ms) (deadline 4s) (worth 2) (floor 1)))
  (kinds (kind "two-core" (slots 24)))
  (zones "room-a" "room-b" "room-c") (zone "room-a")
  (cells 16) (racks 3) (weight-kb 2900) (rack-kb 14000) (fleet-kb 46000)
  (reports util) (may-probe yes)
  (notes-late 1s) (stall-cost 7) (change-cost 0.6) (full-from 1)
  (max-attempts 5) (retry-after-most 2s) (connect-wait 250ms) (drain-grace 2s)
  (price-move 0.06) (price-probe 0.01) (price-cross 0.02)
  (cold (span 12s) (from 0.4) (times 3) (over 2s)))

(titles (title "bracket-7" (home 2) (copies 3)))
