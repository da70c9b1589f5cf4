/*
 * hash - non-cryptographic hashes and seeded pseudo-random numbers
 *
 * The hashes choose owners of ids and levels of calls, so they have to be the
 * same on every daemon.  They do not protect against forgery.
 */
#ifndef CORE_HASH_H
#define CORE_HASH_H

#include <stddef.h>
#include <stdint.h>

/* Hash one word: each bit of the result depends on all of its bits. */
uint64_t hash_mix(uint64_t);
/* Hash a block of bytes with XXH3. */
uint64_t hash_bytes(const void *, size_t);
uint64_t hash_string(const char *);
/*
 * Rendezvous hashing: the weight of a candidate for a subject.  The candidate
 * with the highest weight is chosen.
 */
uint64_t hash_rendezvous(uint64_t subject, uint64_t candidate);

/* The next number of a generator; *state is its whole state. */
uint64_t rng_next(uint64_t *state);
/* A number in [0, n); n must not be zero. */
uint64_t rng_below(uint64_t *state, uint64_t n);

#endif
