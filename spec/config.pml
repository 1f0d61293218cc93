// The document of one environment: racing operators, processes that apply what
// they read, and promotion from trial to production.
// broken: BLIND_UPDATE APPLY_ANY_VERSION PROMOTE_CURRENT
//
// Each accepted change has a version of its own. Operators read, edit and write
// on the condition that nothing was accepted since; the answer may be lost, in
// which case they read again. Processes see any accepted version at any time,
// as watches lag and copies come from peers.
#define EDITS 4
#define PROCESSES 2
#define OPERATORS 2

byte accepted = 0;                 // version of the accepted document
byte content[EDITS + 1];           // content by version
byte based[EDITS + 1];             // the version that it was edited from
byte inforce[PROCESSES];           // version in force at each process
byte edits = 0;                    // contents made so far
byte tried = 0;                    // content that trial ran last
byte approved = 0;                 // content whose trial the operator approved
byte production = 0;               // content in production

#ifdef BLIND_UPDATE
#define CONDITION(v) true
#else
#define CONDITION(v) (accepted == v)
#endif
#ifdef APPLY_ANY_VERSION
#define NEWER(v, have) true
#else
#define NEWER(v, have) (v > have)
#endif

proctype operator() {
  byte base, mine;
  do
  :: atomic { mine == 0 && edits < EDITS -> base = accepted; edits++; mine = edits }
  :: atomic { mine != 0 ->
       if
       :: CONDITION(base) && accepted < EDITS ->
         accepted++;
         content[accepted] = mine;
         based[accepted] = base;
         // No accepted change is lost: each was edited from the one before.
         assert(based[accepted] == accepted - 1);
         if
         :: mine = 0; base = 0      // answered
         :: skip                    // answer lost: the next try conflicts
         fi
       :: !CONDITION(base) ->
         // The operator is told what is accepted now; its own change is found
         // there by its content or made again.
         mine = 0; base = 0
       :: else -> mine = 0; base = 0
       fi }
  od
}

// A process may see the versions in any order, also old ones again.
proctype process(byte i) {
  byte v;
  do
  :: atomic { accepted > 0 ->
       if
       :: v = accepted
       :: accepted > 1 -> v = accepted - 1
       :: v = 1
       fi;
       if
       :: NEWER(v, inforce[i]) ->
         assert(v >= inforce[i]);
         inforce[i] = v
       :: else
       fi;
       v = 0 }
  od
}

// Trial runs a version; production takes the very content that was approved.
proctype promotion() {
  byte digest;
  do
  :: atomic { inforce[0] > 0 -> tried = content[inforce[0]] }
  :: atomic { tried != 0 -> approved = tried; digest = approved }
  :: atomic { digest != 0 ->
#ifdef PROMOTE_CURRENT
       production = content[accepted];
#else
       production = digest;
#endif
       assert(production == approved);
       digest = 0 }
  od
}

init {
  atomic {
    run operator(); run operator();
    run process(0); run process(1);
    run promotion()
  }
}
