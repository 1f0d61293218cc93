// At most once with an idempotency key: one key, two routers, two agents.
// broken: NO_TOMBSTONE NO_INCARNATION MOVE_WHEN_GONE BLIND_MOVE NO_REREAD DROP_TOMBSTONE LATE_REFUSAL
//
// The platform holds one claim. A conditional write takes effect and is
// answered, takes effect without an answer, or takes effect later or never.
// Other keys of the same object change its version at any time. Routers die at
// any step. Dispatches arrive late or never; an agent queues, begins and
// withdraws attempts, forgets ended ones, and restarts with empty memory any
// number of times.
//
// Versions and incarnations are only ever compared for equality with the one in
// force, so that one bit holds the comparison's result and no counter is needed.
//
// Each variant has one fault:
//   NO_TOMBSTONE    an agent says "not run" and remembers nothing
//   NO_INCARNATION  an agent takes a dispatch meant for an earlier incarnation
//   MOVE_WHEN_GONE  a router moves the claim because its agent has restarted
//   BLIND_MOVE      a router moves the claim without a condition on its version
//   NO_REREAD       a router takes a write without an answer for done
//   DROP_TOMBSTONE  an agent forgets an attempt without raising the floor
//   LATE_REFUSAL    an agent calls a begun attempt not run

#define ROUTERS  2
#define ATTEMPTS 3

#define NONE 255

// What an agent knows of an attempt.
#define NEVER     0
#define TOMBSTONE 1
#define QUEUED    2
#define BEGUN     3
#define FORGOTTEN 4

byte holder = NONE;         // the attempt that the claim names
bool fresh[ROUTERS];        // the version that the router read is in force
bool late[ATTEMPTS];        // writes on the version in force that may still land

byte known[ATTEMPTS];       // at the agent that the attempt names
bit at[ATTEMPTS];           // the agent of each attempt
bool same[ATTEMPTS];        // the agent has not restarted since
bool sent[ATTEMPTS];        // dispatches on the way
bool waits[ATTEMPTS];       // the router listens to the dispatch's stream
bool refused[ATTEMPTS];     // "not run" on that stream
byte next = 0;
byte runs = 0;

// A change of the version ends all that was conditional on the one before.
inline change() {
  fresh[0] = false; fresh[1] = false;
  late[0] = false; late[1] = false; late[2] = false
}

inline refuse(a) { refused[a] = waits[a] }

// The attempt in hand is t, which the router has made; old is one that it knows
// was not run.
proctype router(bit me) {
  byte t = NONE, found = NONE, old = NONE;
read:
  atomic { fresh[me] = true; found = holder };
  if
  :: atomic { t != NONE && found == t -> found = NONE; goto dispatch }
  :: atomic { found == NONE || (old != NONE && found == old) -> found = NONE; goto write }
  :: else -> goto ask
  fi;
write:
  if
  :: t == NONE && next == ATTEMPTS -> goto stop
  :: atomic { t == NONE && next < ATTEMPTS -> t = next; next++; same[t] = true;
       if :: at[t] = 0 :: t > 0 -> at[t] = 1 fi }  // the first agent is agent 0
  :: t != NONE
  fi;
  atomic {
#ifdef BLIND_MOVE
    if :: old != NONE -> fresh[me] = true :: else fi;
#endif
    if
    :: fresh[me] -> change(); holder = t; goto dispatch
    :: fresh[me] -> change(); holder = t; goto lost
    :: late[t] = fresh[me] || late[t]; goto lost
    :: !fresh[me] -> goto read        // conflict
    :: goto stop                      // dies
    fi
  };
lost:
#ifdef NO_REREAD
  goto dispatch;
#else
  if
  :: goto read
  :: goto stop                        // dies, or the caller is told "not run"
  fi;
#endif
dispatch:
  if
  :: atomic { fresh[me] = false; sent[t] = true; waits[t] = true }
  :: goto stop                        // dies between claim and dispatch
  fi;
  if
  :: atomic { refused[t] -> refused[t] = false; waits[t] = false; old = t; t = NONE; goto read }
  :: goto stop
  fi;
ask:
  if
  :: atomic { same[found] && known[found] == NEVER ->
#ifndef NO_TOMBSTONE
       known[found] = TOMBSTONE;
#endif
       old = found; found = NONE; goto write }
  :: atomic { same[found] && known[found] == TOMBSTONE -> old = found; found = NONE; goto write }
#ifdef MOVE_WHEN_GONE
  :: atomic { !same[found] -> old = found; found = NONE; goto write }
#endif
  :: goto stop                        // joined, or unknown, or no answer
  fi;
stop:
  atomic {
    fresh[me] = false;
    if :: t != NONE -> waits[t] = false; refused[t] = false :: else fi;
    t = NONE; found = NONE; old = NONE
  }
}

proctype platform() {
end:
  do
  :: atomic { late[0] -> change(); holder = 0 }
  :: atomic { late[1] -> change(); holder = 1 }
  :: atomic { late[2] -> change(); holder = 2 }
  :: atomic { fresh[0] || fresh[1] -> change() }   // a write for another key
  od
}

// What becomes of one attempt at its agent.
proctype agent(byte t) {
end:
  do
  :: atomic { sent[t] ->
       sent[t] = false;
       if
#ifndef NO_INCARNATION
       :: !same[t] -> refuse(t)
       :: same[t] && known[t] == NEVER -> known[t] = QUEUED
#else
       :: known[t] == NEVER -> known[t] = QUEUED
#endif
       :: known[t] == TOMBSTONE -> refuse(t)
       :: else
       fi }
  :: atomic { known[t] == QUEUED -> known[t] = BEGUN; runs++ }
  :: atomic { known[t] == QUEUED -> known[t] = TOMBSTONE; refuse(t) }
#ifdef LATE_REFUSAL
  :: atomic { known[t] == BEGUN && waits[t] && !refused[t] -> refuse(t) }
#endif
  :: atomic { (known[t] == TOMBSTONE || known[t] == BEGUN) ->
#ifdef DROP_TOMBSTONE
       known[t] = NEVER }
#else
       known[t] = FORGOTTEN }
#endif
  od
}

proctype restart() {
  byte i;
end:
  do
  :: d_step { for (i : 0 .. ATTEMPTS - 1) { if :: at[i] == 0 -> known[i] = NEVER; same[i] = false :: else fi }; i = 0 }
  :: d_step { for (i : 0 .. ATTEMPTS - 1) { if :: at[i] == 1 -> known[i] = NEVER; same[i] = false :: else fi }; i = 0 }
  od
}

init {
  byte n;
  atomic {
    for (n : 0 .. ROUTERS - 1) { run router(n) };
    for (n : 0 .. ATTEMPTS - 1) { run agent(n) };
    run platform();
    run restart();
    n = 0
  }
}

ltl once { [] (runs <= 1) }
