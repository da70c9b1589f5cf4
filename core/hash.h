/*
 * hash - hashing and seeded pseudo-random numbers
 *
 * Hashes choose owners and levels and must come out the same on every
 * daemon; they are no protection against forgery.
 */
#ifndef CORE_HASH_H
#define CORE_HASH_H

#include <stddef.h>
#include <stdint.h>

/* Mix one word so that every bit of the result depends on every bit. */
uint64_t hash_mix(uint64_t);
/* Hash bytes (XXH3). */
uint64_t hash_bytes(const void *, size_t);
uint64_t hash_string(const char *);
/* The weight of a candidate for a subject: the highest one owns it. */
uint64_t hash_rendezvous(uint64_t subject, uint64_t candidate);

/* Next number of a generator whose whole state is *state. */
uint64_t rng_next(uint64_t *state);
/* A number below n; n must not be zero. */
uint64_t rng_below(uint64_t *state, uint64_t n);

#endif
