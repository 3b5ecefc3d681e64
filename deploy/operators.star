# The operators' file: what the platform's settings do not say. It is Starlark, read at the start where
# PROXY_OPERATOR_FILE or --operator-file names it, and again at SIGHUP, whole or not at all.
# Bounds: 5 s of processor time, 512 MB, 200,000 directive calls. No files, no other scripts, no clock.

# Every changed map needs a higher epoch: an older map never takes the place of a newer one.
epoch(1)

# A cell is a part of the fleet with a decision module of its own and its own part of what all share.
#   weight   its share of the engines that are placed by hash
#   share    its part of descriptors, memory, open requests and turns of the loop (0: as weight)
#   engines, zones, models   what is pinned to it, whatever the hash says
#   least, most   bounds on its ready engines (most 0: none)
cell("counters", weight = 2, least = 2)
cell("finance", weight = 1, least = 1, zones = ["first-floor"])

# Loops and functions are there for large fleets.
def spare_cells(count):
    return [cell("spare-%d" % i, weight = 0.5, least = 0) for i in range(count)]

spare_cells(2)

# Whoever is not named below goes here.
default_cell("counters")

tenant("likoni-crossings", cell = "counters")
tenant("kilifi-creek-ferries", cell = "finance")

# A large tenant can be spread over several cells, by a digest of a field: "route" or "data_set".
tenant("lamu-island-boats", cells = ["counters", "finance"], key = "data_set")

# How long a move may stay in each stage, in seconds.
moves(propose = 10, warm = 30, settle = 1, watch = 2, switched = 10, drain = 60, lost = 0.5)

# Deadlines. Without this word a request's time counts from its last byte, 10 ms of it are kept for the answer's
# way back, and a client that ends its side has left.
#   learn        the margin is learned from the time that deciding and answering take, within its bounds
#   count_from   "first": the time that a request took to come in counts as well
#   half_close   "answer": a client may end its side and still wait for its answers
deadlines(learn = True, margin_ms = 10, least_margin_ms = 2, most_margin_ms = 50, half_close = "answer")

# Further attempts are a fifth of first ones at the most, by class and tenant; ten may be saved up. `first` is the
# part of its time that the first attempt of a safe class gets.
further_attempts(share = 0.2, burst = 10, first = 0.7)
further_class("report", share = 0.1, burst = 2)

# Lines as text (logfmt) or JSON; one request in a hundred gets a line that says where its time went.
logs(format = "json", stories = 0.01)
