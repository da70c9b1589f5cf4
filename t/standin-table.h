/*
 * standin-table - the users' protocol of the platform's table service
 *
 * The rows-get, rows-feed and rows-tx requests of the platform's pages.  All
 * rows share one counter of versions, and each response has the header
 * Store-Era, unless the table was created without one.  The table can come
 * back from an older copy of itself:
 *
 *	GET /-/copy		take the copy
 *	GET /-/away		close all connections without a response
 *	GET /-/return		answer again, with the rows and the version of
 *				the copy; the era rises by one
 *	PUT /-/op?key=K		write the operator's row K of table "op"
 *	GET /-/stale?versions=N	answer reads as they were N versions ago
 *	GET /-/rows?table=T	"part/key version value" lines
 *	GET /-/table		version, era and the numbers of requests
 *
 * These requests are answered while the table is away, too; the responses to
 * copy, return and op are "ver N era N" lines.
 *
 *	t = standin_table_create(base, true);
 *	if (!standin_table_control(t, req))
 *		standin_table_request(t, req);
 */
#ifndef T_STANDIN_TABLE_H
#define T_STANDIN_TABLE_H

#include "t/standin.h"

/* A table without rows; it lives until the end of the program. */
struct standin_table *standin_table_create(struct event_base *, bool sends_era);
/* Answer a request under /-/; false if it is not one of the table's. */
bool standin_table_control(struct standin_table *, struct evhttp_request *);
/* Answer a request under /api/. */
void standin_table_request(struct standin_table *, struct evhttp_request *);

#endif
