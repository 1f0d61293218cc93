// The slots for the replicas of one model: two addresses with a VM each, two
// planners, engines of both kinds. Spin searches every interleaving.
// broken: ACK_BEFORE_UNLOAD IGNORE_PENDING IGNORE_TRANSIT STALE_READ/FENCES=1/SWAPS=0/DEATHS=1 FREE_ON_TIMEOUT BLIND_WRITE FREE_HELD SLOT_BY_ADDRESS/SWAPS=1 UNSEEN_IS_GONE/SWAPS=1 OLD_DOCUMENT
// check: -DDEATHS=1 -DSWAPS=0
// check: -DDEATHS=0 -DSWAPS=1
//
// A conditional update succeeds when nothing was written since its read, so each
// reader that may write has a bit in place of a version: set by its read,
// cleared by any write. A lost answer is a write whose writer does not learn of
// it; a late one is a write that its writer, by then perhaps dead, left behind.
#define N 2
#define NONE 0
#define HELD 1
#define REVOKING 2
#ifndef FENCES
#define FENCES 2
#endif
#ifndef DEATHS
#define DEATHS 1
#endif
#ifndef SWAPS
#define SWAPS 0
#endif

// The store's grant object.
byte slot[N] = HELD, fence[N] = 1;
bit names[N];                      // the VM instance that the slot names
byte last = 1;                     // the highest fence
byte limit = 2, document = 1;      // lowered to 1 by document 2
bool settled = false;              // the lowered limit has been reached
bool unchanged[4];                 // nothing written since the read by planner 0 or 1, agent 0 or 1

// What is true of the VMs and their engines.
bit inst[N];                       // the VM instance at the address
bool loading[N], loaded[N];
byte transit[N];                   // fence of a load order on its way, or 0
byte efence[N];                    // highest fence that the engine has seen
byte deaths = DEATHS, swaps = SWAPS; // faults that are left

// A copy of the grant made earlier, for agent 1. It is fresh if it is not older
// than this incarnation of the agent and than what the agent has read.
byte oldslot, oldfence;
bool fresh = false;

bool writing[N];                   // an agent's write is on its way

#define COUNT ((slot[0] != NONE) + (slot[1] != NONE))
#define BUSY(i) (loaded[i] || loading[i])

// The conditions that the broken variants leave out.
#ifdef BLIND_WRITE
#define UNCHANGED(w) true
#else
#define UNCHANGED(w) unchanged[w]
#endif
#ifdef UNSEEN_IS_GONE
#define GONE (i == 0 && names[0] != seen)
#else
#define GONE (i == 0 && names[0] == 0 && seen == 1)
#endif
#ifdef OLD_DOCUMENT
#define CURRENT true
#else
#define CURRENT (doc >= document)
#endif
#ifdef STALE_READ
#define FRESH true
#define FORGET fresh = false
#else
#define FORGET fresh = false; oldslot = NONE; oldfence = 0
#define FRESH fresh
#endif
#ifdef FREE_HELD
#define GIVEN_UP (slot[i] != NONE)
#else
#define GIVEN_UP (gave != 0 && slot[i] == REVOKING && fence[i] == gave)
#endif
#if defined(ACK_BEFORE_UNLOAD)
#define EMPTY true
#elif defined(IGNORE_PENDING)
#define EMPTY (!loaded[i])
#elif defined(IGNORE_TRANSIT)
#define EMPTY (!BUSY(i))
#else
#define EMPTY (!BUSY(i) && transit[i] == 0)
#endif

inline check() {
  if
  :: limit == 1 && COUNT <= 1 -> settled = true
  :: else
  fi;
  assert(!settled || BUSY(0) + BUSY(1) <= 1);
  assert(!BUSY(0) || (slot[0] != NONE && names[0] == inst[0]));
  assert(!BUSY(1) || (slot[1] != NONE && names[1] == inst[1]))
}

inline written() {
  unchanged[0] = false; unchanged[1] = false; unchanged[2] = false; unchanged[3] = false;
  check()
}

#define PLAN_GRANT 1
#define PLAN_REVOKE 2
#define PLAN_RESTORE 3
#define PLAN_FREE 4
#define PLAN_LIMIT 5

inline choose() {
  if
  :: i = 0; vm = seen
  :: i = 1; vm = 0
  fi;
  if
  :: limit != 3 - doc -> act = PLAN_LIMIT
  :: limit == 3 - doc && slot[i] == NONE && COUNT < limit && last < FENCES -> act = PLAN_GRANT
  :: slot[i] == HELD -> act = PLAN_REVOKE
  :: limit == 3 - doc && slot[i] == REVOKING && (slot[0] == HELD) + (slot[1] == HELD) < limit && last < FENCES -> act = PLAN_RESTORE
  :: slot[i] != NONE && GONE -> act = PLAN_FREE
#ifdef FREE_ON_TIMEOUT
  :: slot[i] == REVOKING -> act = PLAN_FREE
#endif
  :: else
  fi;
  if
  :: act != 0 -> unchanged[p] = true
  :: else -> i = 0; vm = 0
  fi
}

inline apply() {
  if
  :: UNCHANGED(p) ->
    if
    :: act == PLAN_GRANT -> last++; slot[i] = HELD; fence[i] = last; names[i] = vm
    :: act == PLAN_REVOKE -> slot[i] = REVOKING
    :: act == PLAN_RESTORE -> slot[i] = HELD; last++; fence[i] = last
    :: act == PLAN_FREE -> slot[i] = NONE; fence[i] = 0; names[i] = 0
    :: act == PLAN_LIMIT -> limit = 3 - doc; document = doc
    fi;
    written()
  :: else
  fi;
  unchanged[p] = false; act = 0; vm = 0; i = 0
}

// Planner 0 has the newest document and list and writes as it reads; planner 1
// lags behind and may pause between its read and its write.
proctype planner(bit p) {
  byte doc = 2 - p, act;
  bit seen, i, vm;
  do
  :: atomic { doc == 1 -> doc = 2 }
  :: atomic { p == 1 && seen == 0 && inst[0] == 1 -> seen = 1 }
  :: atomic { act == 0 && CURRENT ->
       if
       :: p == 0 -> seen = inst[0]
       :: else
       fi;
       choose();
       if
       :: p == 0 && act != 0 -> apply()
       :: else
       fi }
  :: atomic { act != 0 -> apply() }
  od
}

#ifdef SLOT_BY_ADDRESS
#define MINE(who) true
#else
#define MINE(who) (who == life)
#endif

// Without a slot an agent may forget what it gave up: whatever it reads later
// is newer. A variant that reads old copies must not forget, or it would be
// wrong twice.
#ifdef STALE_READ
#define RESET skip
#else
#define RESET if :: state == NONE -> gave = 0 :: else fi
#endif

inline take(state, number, who) {
  if
  :: state == HELD && MINE(who) && number > gave -> right = number
  :: state == REVOKING && MINE(who) -> right = 0; gave = number
  :: else -> right = 0; RESET
  fi
}

// An agent reads the grant, orders its engine and frees its slot. Between any
// two steps it may be paused for as long as the search likes, or die.
proctype agent(bit i) {
  byte right, gave;
  bit life;
boot:
  atomic {
    right = 0; gave = 0; life = inst[i];
    if
    :: i == 1 -> FORGET
    :: else
    fi
  };
  do
  :: atomic { life != inst[i] -> goto boot }
  :: atomic { i == 1 && deaths > 0 -> deaths--; goto boot }
  :: atomic { life == inst[i] -> take(slot[i], fence[i], names[i]);
       if
       :: i == 1 -> FORGET
       :: else
       fi }
  :: atomic { i == 1 && DEATHS > 0 -> oldslot = slot[1]; oldfence = fence[1]; fresh = true }
  :: atomic { i == 1 && FRESH -> take(oldslot, oldfence, 0) }
  // Load. The settle time stands for an engine that no order is on its way to.
  :: atomic { right != 0 && life == inst[i] && !BUSY(i) && transit[i] == 0 -> transit[i] = right }
  // Unload an idle model, or one that may not stay.
  :: atomic { loaded[i] && life == inst[i] ->
       loaded[i] = false;
       if
       :: right == 0 && gave >= efence[i] -> efence[i] = gave + 1
       :: else
       fi }
  // Free the slot. The write lands now, later or never.
  :: atomic { life == inst[i] && !writing[i] && MINE(names[i]) && right == 0 && GIVEN_UP && EMPTY ->
       writing[i] = true; unchanged[2 + i] = true }
#ifdef FREE_HELD
  :: atomic { right != 0 && !BUSY(i) && transit[i] == 0 -> gave = right; right = 0 }
#endif
  od
}

proctype network(bit i) {
  do
  :: atomic { writing[i] ->
       if
       :: UNCHANGED(2 + i) -> slot[i] = NONE; fence[i] = 0; names[i] = 0; written()
       :: true
       fi;
       writing[i] = false; unchanged[2 + i] = false }
  od
}

// Engine 0 checks fences, engine 1 ignores them.
proctype engine(bit i) {
  do
  :: atomic { transit[i] != 0 ->
       if
       :: i == 0 && transit[i] < efence[i]
       :: else ->
         if
         :: !BUSY(i) -> loading[i] = true
         :: else
         fi;
         if
         :: transit[i] > efence[i] -> efence[i] = transit[i]
         :: else
         fi
       fi;
       transit[i] = 0;
       check() }
  :: atomic { transit[i] != 0 -> transit[i] = 0 }
  :: atomic { loading[i] -> loading[i] = false; loaded[i] = true }
  :: atomic { loading[i] -> loading[i] = false }
  // The VM at address 0 is replaced; its address is used again at once.
  :: atomic { i == 0 && swaps > 0 -> swaps--; inst[i]++; loading[i] = false; loaded[i] = false; transit[i] = 0; efence[i] = 0 }
  od
}

init {
  atomic {
    run planner(0); run planner(1);
    run agent(0); run agent(1);
    run network(0); run network(1);
    run engine(0); run engine(1)
  }
}
