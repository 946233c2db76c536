; One front of a fleet of five: three vote, one a zone; the others follow. All five files are alike but for name, me, addresses
; and zone. docs/run/upkeep.md goes through it.
(front
  (name "briefings-1")
  (listen "127.0.0.1:7700")
  (fleet 5) (me 0)
  (list (consul "127.0.0.1:8500") (service "media"))
  (state "state/briefings-1"))          ; a voter needs it: what it promised must survive its process

(service
  (ladder (rung 190 0.22) (rung 300 0.42) (rung 480 0.58) (rung 780 0.74) (rung 1200 0.87) (rung 1900 1))
  (classes
    (class "live-prices" (aim 1500ms) (deadline 5s) (worth 1) (live yes))
    (class "signed-replay" (aim 1500ms) (deadline 3s) (worth 2) (effect paid) (seats 8))
    (class "replay" (aim 1500ms) (deadline 4s) (worth 1) (top 3)))
  (kinds (kind "two-core" (slots 26)) (kind "three-core" (slots 39)))
  (zones "east" "west" "harbour") (zone "east")
  (cells 16) (racks 8) (weight-kb 3300) (rack-kb 28000) (fleet-kb 42000)
  (reports link uplink) (may-probe yes)
  (notes-late 700ms) (stall-cost 7) (change-cost 0.6) (full-from 1.2)
  (max-attempts 3) (retry-after-most 2s) (connect-wait 250ms) (drain-grace 250ms)
  (price-move 0.15) (price-probe 0.01) (late-fail 0.05)
  (cold (span 12s) (from 0.4) (times 2) (over 1500ms)))

(titles (title "close-prices" (home 0) (copies 6)) (title "rates-week" (home 6) (copies 4)))

(fleet
  (cluster "briefings")                  ; fronts of another name are refused
  (listen "127.0.0.1:7946")              ; TCP and UDP
  (control "127.0.0.1:7947")             ; commands, from this host alone
  (keys "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff") ; the first seals, all open; draw your own
  (voters (voter "briefings-1" (zone "east")) (voter "briefings-2" (zone "west")) (voter "briefings-3" (zone "harbour")))
  (join
    (front "briefings-1" "127.0.0.1:7946") (front "briefings-2" "127.0.0.1:7956") (front "briefings-3" "127.0.0.1:7966")
    (front "briefings-4" "127.0.0.1:7976") (front "briefings-5" "127.0.0.1:7986"))
  (upkeep
    (rack 1) (zone 2) (whole 3)          ; servers out at the same time, failed ones counted
    (fronts 1) (holders 1) (margin 0.2) (paid 20)
    (patience 10m)                       ; from then on nobody passes an ask by
    (hear 10s) (drain 10m) (late 30m) (back 12s) (stale 15s)))
