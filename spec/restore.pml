// An engine's owner record in a store that is restored from older copies: the fences of
// successive sidecars, and the configuration that a router has in force.
// broken: FENCE_BY_REVISION ADOPT_BY_REVISION
//
// The store issues revisions again after a restore and counts its restores (the era).
// A sidecar's fence is the version of its record. A router adopts what it reads; the
// operator writes again what a restore has lost.
#define RESTORES 2
#define STARTS 3
#define CONFIGS 2
#define MAX_REVISION 7

byte era = 0;
byte revision = 1;
byte copied = 1;                   // revision of the copy
byte stored = 0;                   // configuration number in the store
byte copiedStored = 0;
byte storedRevision = 0;           // its revision
byte copiedStoredRevision = 0;
byte written = 0;                  // newest configuration that was acknowledged
byte starts = 0;
byte fenceEra = 0;                 // highest fence so far
byte fenceRevision = 0;
byte inforce = 0;                  // configuration in force at the router
byte inforceEra = 0;
byte inforceRevision = 0;

// A fence from (e1, r1) is higher than one from (e2, r2).
#ifdef FENCE_BY_REVISION
#define HIGHER(e1, r1, e2, r2) (r1 > r2)
#else
#define HIGHER(e1, r1, e2, r2) (e1 > e2 || e1 == e2 && r1 > r2)
#endif

proctype store() {
  do
  :: atomic { copied = revision; copiedStored = stored; copiedStoredRevision = storedRevision }
  :: atomic { era < RESTORES && revision > copied ->
       era++; revision = copied; stored = copiedStored; storedRevision = copiedStoredRevision }
  :: atomic { revision < MAX_REVISION -> revision++ }    // other writers
  od
}

// Each start writes the record and takes the version of the write as its fence.
proctype sidecars() {
  do
  :: atomic { starts < STARTS && revision < MAX_REVISION ->
       starts++; revision++;
       assert(starts == 1 || HIGHER(era, revision, fenceEra, fenceRevision));
       fenceEra = era; fenceRevision = revision }
  od
}

proctype operator() {
  do
  :: atomic { written < CONFIGS && stored == written && revision < MAX_REVISION ->
       written++; revision++; stored = written; storedRevision = revision }
  :: atomic { stored < written && revision < MAX_REVISION ->
       revision++; stored = written; storedRevision = revision }
  od
}

proctype router() {
  byte before;
  do
  :: atomic { stored > 0 ->
       before = inforce;
       if
       :: era == inforceEra && storedRevision > inforceRevision ->
         inforce = stored; inforceEra = era; inforceRevision = storedRevision
#ifdef ADOPT_BY_REVISION
       :: era > inforceEra ->
         inforce = stored; inforceEra = era; inforceRevision = storedRevision
#else
       :: era > inforceEra && stored >= inforce ->
         inforce = stored; inforceEra = era; inforceRevision = storedRevision
#endif
       :: else
       fi;
       // The configuration in force never goes back.
       assert(inforce >= before);
       before = 0 }
  od
}

init {
  atomic { run store(); run sidecars(); run operator(); run router() }
}
