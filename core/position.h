/*
 * position - the order of what the platform's store holds
 *
 * The store numbers its changes, and a row's version is the number of its last
 * change.  When the store comes back from a copy, the changes since the copy
 * are gone and their numbers are given out again, to other changes.  The store
 * tells this by its era, a number that rises with each return.
 *
 * A position is an era and a version in that era as one number: of two
 * positions the higher one is the later, whatever their versions are.  All
 * that is ordered by a version of the store is kept and sent as a position;
 * core/store_era.c makes them from the store's answers.
 *
 * A store without eras has the era 0, where positions are versions.  Position 0
 * stands for none.
 */
#ifndef CORE_POSITION_H
#define CORE_POSITION_H

#include <stdbool.h>
#include <stdint.h>

#define POSITION_VERSION_BITS 40
#define POSITION_MAX_VERSION ((UINT64_C(1) << POSITION_VERSION_BITS) - 1)
#define POSITION_MAX_ERA ((UINT64_C(1) << 23) - 1)

/* Set *position; false if the era or the version is above its maximum. */
bool position_make(uint64_t era, uint64_t version, uint64_t *position);
uint64_t position_era(uint64_t position);
uint64_t position_version(uint64_t position);

#endif
