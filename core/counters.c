#include <string.h>

#include "core/counters.h"

static const char *const counter_names[COUNT_COUNT] = {
    [COUNT_CALLS] = "calls",
    [COUNT_SUB_CALLS] = "sub_calls",
    [COUNT_WHOLE_ANSWERS] = "whole_answers",
    [COUNT_TRIES] = "tries",
    [COUNT_RETRIES] = "retries",
    [COUNT_REPLIES_TO_EARLIER_PROCESS] = "replies_to_earlier_process",
    [COUNT_JOBS_STARTED] = "jobs_started",
    [COUNT_JOBS_DONE] = "jobs_done",
    [COUNT_JOBS_CANCELLED] = "jobs_cancelled",
    [COUNT_LEDGER_REPLAYS] = "ledger_replays",
    [COUNT_FATES_ASKED] = "fates_asked",
    [COUNT_TOMBSTONES] = "tombstones_written",
    [COUNT_RECORDS_HANDED_OVER] = "ledger_records_handed_over",
    [COUNT_LINKS_LOST] = "links_lost",
    [COUNT_CONFIG_ADOPTED] = "config_versions_adopted",
    [COUNT_CONFIG_REJECTED] = "config_versions_rejected",
    [COUNT_MEMBERS_GONE] = "members_found_gone",
    [COUNT_REINCARNATIONS] = "reincarnations",
    [COUNT_SHARE_ASKS] = "share_asks",
    [COUNT_TOKEN_WAITS] = "token_waits",
    [COUNT_PLATFORM_READS] = "platform_reads",
    [COUNT_PLATFORM_WRITES] = "platform_writes",
    [COUNT_PLATFORM_ANSWERS_LOST] = "platform_answers_lost",
    [COUNT_ODD_ROWS] = "odd_rows",
    [COUNT_STORE_RETURNS] = "store_returns",
    [COUNT_STORE_ANSWERS_OLD] = "store_answers_old",
    [COUNT_ROWS_WRITTEN_AGAIN] = "rows_written_again",
    [COUNT_CONFIG_ROWS_OLDER] = "config_rows_older",
    [COUNT_CONFIG_ROWS_LOWER] = "config_rows_lower_revision",
    [COUNT_CONTROL_MESSAGES] = "control_messages_sent",
    [COUNT_OLD_ANNOUNCEMENTS] = "old_announcements",
    [COUNT_TARGET_ENDS_RESTORED] = "target_ends_restored",
    [COUNT_TARGETS_SILENT] = "targets_silent",
};

const char *
counter_name(enum counter c)
{
	return counter_names[c];
}

static const char *const table_names[ROW_TABLE_COUNT] = {
    [ROW_TABLE_CONFIG] = "config",
    [ROW_TABLE_CONTROL] = "control",
    [ROW_TABLE_POOL] = "pool",
    [ROW_TABLE_MEMBER] = "member",
    [ROW_TABLE_OWNERS] = "owners",
    [ROW_TABLE_ENDED] = "ended",
};

enum row_table
row_table_of(const char *key)
{
	size_t len = strcspn(key, "/");
	int i;

	for (i = 0; i < ROW_TABLE_COUNT; i++) {
		if (strlen(table_names[i]) == len &&
		    strncmp(table_names[i], key, len) == 0)
			return i;
	}
	return ROW_TABLE_CONFIG;
}

const char *
row_table_name(enum row_table t)
{
	return table_names[t];
}

const char *
row_status_name(enum row_status status)
{
	static const char *const names[ROW_STATUS_COUNT] = {
	    [ROW_FOUND] = "found",
	    [ROW_ABSENT] = "absent",
	    [ROW_UNCHANGED] = "unchanged",
	    [ROW_WRITTEN] = "written",
	    [ROW_CONFLICT] = "conflict",
	    [ROW_UNKNOWN] = "unanswered",
	    [ROW_HISTORY_GONE] = "history-gone",
	};

	return names[status];
}
