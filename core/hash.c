#include <string.h>
#include <xxhash.h>

#include "core/hash.h"

uint64_t
hash_mix(uint64_t x)
{
	return XXH3_64bits(&x, sizeof(x));
}

uint64_t
hash_bytes(const void *data, size_t len)
{
	return XXH3_64bits(data, len);
}

uint64_t
hash_string(const char *s)
{
	return XXH3_64bits(s, strlen(s));
}

uint64_t
hash_rendezvous(uint64_t subject, uint64_t candidate)
{
	uint64_t pair[2] = {subject, candidate};

	return XXH3_64bits(pair, sizeof(pair));
}

uint64_t
rng_next(uint64_t *state)
{
	*state += UINT64_C(0x9e3779b97f4a7c15);
	return hash_mix(*state);
}

uint64_t
rng_below(uint64_t *state, uint64_t n)
{
	return rng_next(state) % n;
}
