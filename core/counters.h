/*
 * counters - event counters of a daemon since its start
 *
 * The operators' port prints all of them under their names.
 */
#ifndef CORE_COUNTERS_H
#define CORE_COUNTERS_H

#include <stdint.h>

#include "core/msg.h"
#include "core/verdict.h"

/* What is counted; counter_name() has the names on the operators' port. */
enum counter {
	/* At the entry daemon: */
	COUNT_CALLS, /* received from callers, sub-calls included */
	COUNT_SUB_CALLS, /* made by a job of the local target */
	COUNT_WHOLE_ANSWERS, /* calls answered completely */
	COUNT_TRIES, /* sent to a target's daemon */
	COUNT_RETRIES, /* tries after a back-off */
	/* Replies ignored because an earlier process at our address asked. */
	COUNT_REPLIES_TO_EARLIER_PROCESS,
	/* At the target's daemon: */
	COUNT_JOBS_STARTED, /* handed to the local target */
	COUNT_JOBS_DONE, /* finished by it, with or without an answer */
	COUNT_JOBS_CANCELLED, /* for which a cancel message arrived */
	COUNT_LEDGER_REPLAYS, /* calls answered from the ledger */
	/* By the entry daemon, about a try whose link broke. */
	COUNT_FATES_ASKED,
	COUNT_TOMBSTONES, /* written for ids that were not seen */
	COUNT_RECORDS_HANDED_OVER, /* ledger records sent to the next owners */
	/* Links, configuration and membership: */
	COUNT_LINKS_LOST, /* links lost or that could not be made */
	COUNT_CONFIG_ADOPTED,
	COUNT_CONFIG_REJECTED,
	COUNT_MEMBERS_GONE, /* members found silent for too long */
	COUNT_REINCARNATIONS, /* joins because the old one counted as gone */
	/* Rates: */
	COUNT_SHARE_ASKS, /* requests sent to the parent or the pool's root */
	COUNT_TOKEN_WAITS, /* calls that had to wait for a token */
	/* The platform, and other messages: */
	COUNT_PLATFORM_READS,
	COUNT_PLATFORM_WRITES,
	COUNT_PLATFORM_ANSWERS_LOST, /* requests without an answer */
	COUNT_ODD_ROWS, /* ignored because they name no member or root */
	COUNT_STORE_RETURNS, /* times that the store's era rose */
	COUNT_STORE_ANSWERS_OLD, /* ignored, of an earlier era of the store */
	COUNT_ROWS_WRITTEN_AGAIN, /* of members, after a return of the store */
	COUNT_CONFIG_ROWS_OLDER, /* read, and older than what is in force */
	COUNT_CONFIG_ROWS_LOWER, /* read, of a lower revision in a later row */
	COUNT_CONTROL_MESSAGES, /* sent for membership, configuration, shares */
	COUNT_OLD_ANNOUNCEMENTS, /* ignored because they arrived late */
	/* Starts that ended before this process began, and were learnt of. */
	COUNT_TARGET_ENDS_RESTORED,
	COUNT_TARGETS_SILENT, /* times the target stopped announcing itself */
	COUNT_COUNT,
};

/* The tables of the platform, by what their rows hold. */
enum row_table {
	ROW_TABLE_CONFIG, /* the configuration */
	ROW_TABLE_CONTROL, /* the roots of the data centres' trees */
	ROW_TABLE_POOL, /* the roots of the regions' pools */
	ROW_TABLE_MEMBER, /* the members of the services */
	ROW_TABLE_OWNERS, /* the owners of callers' ids */
	ROW_TABLE_ENDED, /* starts of targets that have ended */
	ROW_TABLE_COUNT,
};

/* The number of each event since the daemon's start. */
struct counters {
	uint64_t values[COUNT_COUNT];
	uint64_t refused[REASON_COUNT]; /* calls that failed, by reason */
	/* Requests to the platform, by their table and outcome. */
	uint64_t platform_requests[ROW_TABLE_COUNT][ROW_STATUS_COUNT];
};

/* The name of a counter on the operators' port; a constant. */
const char *counter_name(enum counter);
/* The table that a row's key belongs to. */
enum row_table row_table_of(const char *key);
/* Names of tables and outcomes, such as "member" and "found"; constants. */
const char *row_table_name(enum row_table);
const char *row_status_name(enum row_status);

#endif
