/*
 * config-text - native configurations for tests
 */
#ifndef T_CONFIG_TEXT_H
#define T_CONFIG_TEXT_H

#include <string>

extern "C" {
#include "t/replay.h"
}

/* The hash of an API key in hexadecimal, as configurations hold it. */
static inline std::string
key_hash_hex(const char *key)
{
	char hex[2 * KEY_HASH_LEN + 1];

	replay_key_hash(key, hex, sizeof(hex));
	return hex;
}

/*
 * A configuration with two data centres, the service bookings, which depends
 * on records, and two organisations with the given rate (calls a second) and
 * burst (calls), whose API keys are "key-brno" and "key-olomouc".  retries is
 * the number of extra tries that a call tree is allowed.  The routes /records
 * and /bookings need a key; /open and /walk-in, to the same services, do not.
 */
static inline std::string
chain_config(double rate = 10000, double burst = 1000, int retries = 3)
{
	return "[policy]\nweighing = recovery\nretries = " +
	       std::to_string(retries) +
	       "\n[datacentre a]\n[datacentre b]\n"
	       "[service records]\n"
	       "[service bookings]\ndepends = records\n"
	       "[organisation brno]\nrate = " +
	       std::to_string(rate) + "\nburst = " + std::to_string(burst) +
	       "\nkey = " + key_hash_hex("key-brno") +
	       "\n[organisation olomouc]\nrate = " + std::to_string(rate) +
	       "\nburst = " + std::to_string(burst) +
	       "\nkey = " + key_hash_hex("key-olomouc") +
	       "\n[route /records]\nservice = records\nidempotent = yes\n"
	       "[route /bookings]\nservice = bookings\nimportance = high\n"
	       "[route /walk-in]\nservice = bookings\nopen = yes\n"
	       "[route /open]\nservice = records\nopen = yes\n"
	       "idempotent = yes\n";
}

#endif
