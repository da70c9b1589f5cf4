/*
 * settings - the settings of one daemon, which it reads from an INI file
 *
 * One table holds the kind, unit, default, bounds and description of each
 * setting; settings_read() checks values against it and settings_describe()
 * prints it.  The section [daemon] holds the settings, [datacentres] the
 * regions of data centres.
 *
 *	struct settings *s = settings_create();
 *	if (!settings_read(s, "daemon.ini", text, len, err, sizeof(err)))
 *		puts(err);
 *	settings_destroy(s);
 */
#ifndef CONFIG_SETTINGS_H
#define CONFIG_SETTINGS_H

#include "core/types.h"

#define SETTINGS_MAX_PEERS 8 /* addresses in the setting "peers" */
#define SETTINGS_MAX_DCS 64 /* lines of the section [datacentres] */
#define SETTINGS_PATH_LEN 256 /* bytes of a path, with its NUL */

/* One line "NAME = REGION" of the section [datacentres]. */
struct settings_dc {
	char name[NAME_LEN];
	char region[NAME_LEN];
};

/*
 * Members are named after their settings, and a suffix gives the unit.  An
 * address that was not set is zero.
 */
struct settings {
	char datacentre[NAME_LEN]; /* of this host */
	char secret_file[SETTINGS_PATH_LEN]; /* empty: any peer is trusted */
	char dialect[NAME_LEN]; /* interface to callers, targets, platform */
	char service[NAME_LEN]; /* of this host's target; empty: as announced */
	char region[NAME_LEN]; /* whose data centres share rates; or empty */
	struct settings_dc dcs[SETTINGS_MAX_DCS]; /* of all regions */
	int ndcs; /* entries of dcs that are used */
	char ready_path[SETTINGS_PATH_LEN]; /* of a readiness request */
	struct addr link; /* where other daemons reach this one */
	struct addr link_bind; /* where it listens for them; unset: link */
	struct addr callers; /* where it listens for callers */
	struct addr operators; /* where it listens for operators */
	struct addr platform; /* the platform's table service */
	struct addr announce; /* where it listens for the target's heartbeats */
	struct addr ready; /* where it listens for readiness requests */
	struct addr metrics; /* where it serves /metrics */
	struct addr target; /* the local target; unset: as it announces */
	struct addr peers[SETTINGS_MAX_PEERS]; /* daemons to contact first */
	int npeers; /* entries of peers that are used */
	uint64_t max_calls; /* callers' calls in progress */
	uint64_t max_queue; /* calls that wait for the local target */
	uint64_t max_ids; /* idempotency ids in the ledger */
	uint64_t max_links; /* links to other daemons */
	uint64_t max_ledger_reply_bytes; /* responses kept in the ledger */
	uint64_t max_header_bytes; /* of one request or response */
	uint64_t max_body_bytes; /* of one request or response */
	uint64_t memory_mb; /* for this process; 0: all that the host has */
	/* Of the target's responses that are not complete yet, together. */
	uint64_t max_partial_bytes;
	uint64_t default_deadline_ms; /* of a call that states none */
	uint64_t max_deadline_ms; /* of any call */
	/* A caller's connection is closed after being idle for this time. */
	uint64_t caller_idle_s;
	uint64_t platform_timeout_ms; /* of a request to the platform */
	uint64_t max_idle_connections; /* idle connections to the target */
	/* A target silent for longer is taken to be unavailable; 0: never. */
	uint64_t announce_silent_ms;
	/* A withdrawn key is refused within this time; 0: no bound. */
	uint64_t key_revocation_us;
	/* From the request to leave until the daemon is killed; 0: no bound. */
	uint64_t grace_us;
	uint64_t headroom_percent; /* of the target's slots, kept free */
	char balancer[NAME_LEN]; /* name of a struct balancer */
	char limiter[NAME_LEN]; /* name of a struct limiter */
	char shedder[NAME_LEN]; /* of a struct shedder, or "policy" */
};

/* Create settings with all defaults; the caller destroys them. */
struct settings *settings_create(void);
void settings_destroy(struct settings *);
void settings_copy(struct settings *dst, const struct settings *src);
/*
 * Read len bytes of text into settings that hold the defaults; name is that of
 * the file, for the error message.  Returns false, with an error and a hint in
 * err, if the text is malformed, a value is out of bounds or a required setting
 * is missing; the settings may then be changed in part.
 */
bool settings_read(struct settings *, const char *name, const char *text,
    size_t len, char *err, size_t errlen);
/* The number of data centres in the daemon's own region; 0: not known. */
int settings_count_region_dcs(const struct settings *);
/*
 * Print all settings into a buffer, two lines each: name, unit, default and
 * bounds, then the description.  Returns the length, without the NUL; what
 * does not fit is cut.
 */
size_t settings_describe(char *buf, size_t len);
/* Parse "IP:PORT" with a numeric IPv4 address and a port other than 0. */
bool addr_parse(const char *, struct addr *);

#endif
