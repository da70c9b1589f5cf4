/*
 * counters - what a daemon has counted since its start
 *
 * Names end in the unit.  The operators' port prints all of them.
 */
#ifndef CORE_COUNTERS_H
#define CORE_COUNTERS_H

#include <stdint.h>

#include "core/verdict.h"

enum counter {
	COUNT_CALLS,
	COUNT_SUB_CALLS,
	COUNT_WHOLE_ANSWERS,
	COUNT_TRIES,
	COUNT_RETRIES,
	COUNT_JOBS_STARTED,
	COUNT_JOBS_DONE,
	COUNT_JOBS_CANCELLED,
	COUNT_LEDGER_REPLAYS,
	COUNT_FATES_ASKED,
	COUNT_TOMBSTONES,
	COUNT_HANDOVERS,
	COUNT_LINKS_LOST,
	COUNT_CONFIG_ADOPTED,
	COUNT_CONFIG_REJECTED,
	COUNT_MEMBERS_GONE,
	COUNT_REINCARNATIONS,
	COUNT_SHARE_ASKS,
	COUNT_TOKEN_WAITS,
	COUNT_PLATFORM_READS,
	COUNT_PLATFORM_WRITES,
	COUNT_PLATFORM_ANSWERS_LOST,
	COUNT_CONTROL_MESSAGES,
	COUNT_OLD_ANNOUNCEMENTS,
	COUNT_TARGETS_SILENT,
	COUNT_COUNT,
};

struct counters {
	uint64_t values[COUNT_COUNT];
	uint64_t refused[REASON_COUNT]; /* failed answers, by reason */
};

const char *counter_name(enum counter);

#endif
