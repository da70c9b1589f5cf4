/*
 * msg - the typed messages that tasks and daemons exchange
 *
 *	struct msg *m = msg_create(MSG_FORWARD);
 *	m->peer = member->addr;
 *	TAILQ_INSERT_TAIL(out, m, entry);
 *
 * The core is given one message and a time, and appends messages to a list.
 * A message belongs to whoever took it off a list; msg_destroy() frees it
 * and everything that it holds.  The encoding of messages on a link is
 * defined in wire/; nothing here depends on it.
 *
 * A message is allocated as large as its kind needs, so only the member of
 * the union that belongs to the kind may be used.  The kind must not be
 * changed, except from MSG_ROW_READ or MSG_ROW_WRITE to MSG_ROW, which use
 * the same member.
 *
 * Fields named _us are in microseconds, those named _ms in milliseconds.
 * Texts in arrays end in a NUL.
 */
#ifndef CORE_MSG_H
#define CORE_MSG_H

#include <bsd/sys/queue.h>

#include "core/types.h"
#include "core/verdict.h"

/* The most organisations in one MSG_SHARE_ASK or MSG_SHARE. */
#define MSG_MAX_SHARES 64
/* Bytes of a platform row's key, with its NUL. */
#define ROW_KEY_LEN 256

enum msg_kind {
	/* Between the front task and the core: */
	MSG_CALL, /* a caller's request */
	MSG_CALL_GONE, /* the caller has closed its connection */
	MSG_ANSWER, /* the answer or failure for the caller */
	/* Between daemons: */
	MSG_FORWARD, /* one try, from the entry daemon to the target's */
	MSG_REPLY, /* the outcome of a try, from the target's daemon */
	MSG_CANCEL, /* the reply to a try is no longer needed */
	MSG_ASK_FATE, /* asks what became of a try whose link broke */
	MSG_FATE, /* the answer to MSG_ASK_FATE */
	MSG_MEMBERS_ASK, /* a heartbeat that asks for a service's members */
	MSG_MEMBERS, /* the members that the asked daemon knows */
	MSG_HANDOVER, /* one ledger record of a member that leaves */
	MSG_CONFIG_ASK, /* a child asks its parent for the configuration */
	MSG_CONFIG, /* a version of the configuration, and its text */
	MSG_SHARE_ASK, /* asks to be granted shares of rates, or renews them */
	MSG_SHARE, /* the shares that are granted */
	/* Between the link tasks of two daemons: */
	MSG_PIECE, /* the next bytes of a body that follows its message */
	/* From the link task to the core: */
	MSG_LINK_DOWN, /* a link was lost or could not be made */
	/* Between the core and the target task: */
	MSG_RUN, /* send a call to the local target */
	MSG_RUN_DONE, /* the outcome of that call */
	MSG_RUN_CANCEL, /* abort that call */
	MSG_ANNOUNCE, /* the local target is up, or leaves */
	/* To the announce task: what its last MSG_ANNOUNCE says is written. */
	MSG_ANNOUNCED, /* with the seq of that message */
	/* Between the core and the platform task: */
	MSG_ROW_READ, /* read one row, or all with a key prefix */
	MSG_ROW_WRITE, /* write a row if it has the given version */
	MSG_ROW, /* the answer to a read or a write */
	/* Between the operators task and the core: */
	MSG_OPS, /* an operator's request */
	MSG_OPS_REPLY,
	/* To the front task: */
	MSG_DRAIN, /* close each connection after its next answer */
	MSG_CLOSE, /* accept no more requests */
	/* Between the decide task and those that hold answers to send: */
	MSG_FLUSH, /* report when all output has reached its peers */
	MSG_FLUSHED, /* it has; with the seq of the MSG_FLUSH */
	/* To the tasks that use settings: */
	MSG_RELOAD, /* the settings were read again */
	/* To the front task: */
	MSG_LIMITS, /* limits on callers' requests, by the configuration */
	MSG_KIND_COUNT,
};

/* An HTTP request; it owns its buffers. */
struct request {
	char method[METHOD_LEN];
	char host[HOST_LEN]; /* as the caller sent it; may be empty */
	char path[PATH_LEN];
	/* "Name: value\r\n" lines, without this system's own headers. */
	struct buffer headers;
	struct buffer body;
};

/* What a call passes on to its tries and to the sub-calls of its target. */
struct call_context {
	uint64_t tree_id; /* identifies the call tree */
	char org[NAME_LEN]; /* empty on a route that is open to all */
	enum importance importance;
	uint8_t level; /* within the importance; 0 is shed first */
	uint64_t deadline_ms; /* time left when the message is sent */
	/* Time left until an answer is worth less; 0: no goal, or past it. */
	uint64_t goal_ms;
	uint32_t allowance; /* extra tries that the receiver may use */
	uint64_t job; /* the calling job's number at its own daemon */
};

/*
 * A point in the order of importance and then level.  Calls below it are
 * shed.
 */
struct threshold {
	uint8_t importance;
	uint8_t level;
};

/* The outcome of a try or of a call; it owns its buffers. */
struct reply {
	int status; /* the target's HTTP status; 0 on failure */
	struct failure failure; /* REASON_NONE for a complete answer */
	struct buffer headers;
	struct buffer body;
	uint32_t allowance; /* extra tries that were not used */
	/* In MSG_REPLY made for sub-calls, in MSG_ANSWER for the whole call. */
	uint32_t tries;
	uint32_t retry_after_ms; /* for a refused caller; 0: not given */
	struct threshold threshold; /* of the target's queue */
	/* Jobs that run or wait, in thousandths of those that may run. */
	uint32_t load_permille;
	bool leaving; /* the target takes no new work */
	/* The fraction of its callers' work to refuse, in thousandths. */
	uint32_t pressure_permille;
	/* Bytes of the request may have reached the target. */
	bool may_have_reached_target;
};

/* What a caller's connection needs to write the headers of an answer. */
struct call_tag {
	char id[ID_LEN]; /* the caller's id, or empty */
	uint64_t deadline_ms; /* as the caller sent it; 0: none sent */
};

/* A request as the front task received it from a caller. */
struct call {
	uint8_t key_hash[KEY_HASH_LEN]; /* unset without has_key */
	bool has_key;
	bool has_context; /* a local job makes the call, in its context */
	bool context_invalid; /* a context was sent that is not authentic */
	bool from_local_host; /* was sent from the local target's host */
	char id[ID_LEN]; /* the caller's id, or empty */
	/* Without has_context, only its deadline_ms; 0: none sent. */
	struct call_context context;
	struct request request;
};

/* One try of a call, on its way to the target's daemon and to the target. */
struct forward {
	char service[NAME_LEN];
	char caller[NAME_LEN]; /* service of the entry daemon's host */
	char id[ID_LEN]; /* may be empty if idempotent */
	bool idempotent;
	bool owned; /* the id is a caller's: only its owner may run it */
	char target_id[ID_LEN]; /* for MSG_RUN: the target's start to run it */
	uint64_t incarnation; /* of the member that the entry daemon chose */
	uint64_t config_version; /* in force at the entry daemon */
	struct call_context context;
	struct request request;
};

/* The next bytes of a body, of the MSG_FORWARD or MSG_REPLY with that seq. */
struct piece {
	bool of_reply; /* of the MSG_REPLY */
	bool dropped; /* instead: the rest of the body will not follow */
	struct buffer data;
};

/* What became of a try, as the target's daemon answers. */
enum fate_state {
	FATE_TOMBSTONE, /* it was never seen, and will be refused if it comes */
	FATE_RUNNING, /* it runs or waits; a MSG_REPLY will follow */
	FATE_RAN, /* it ran; a MSG_REPLY follows at once */
	FATE_UNKNOWN, /* it may have run; the daemon cannot know */
};

/* The question what became of a try, and the answer. */
struct fate {
	char org[NAME_LEN];
	char id[ID_LEN];
	uint64_t seq; /* of the try that is asked about */
	uint64_t incarnation; /* of the member that the try was sent to */
	enum fate_state state; /* only in the answer */
};

/* The state of a member; it only advances, in this order. */
enum member_state {
	MEMBER_ALIVE,
	MEMBER_LEAVING, /* takes no new work and finishes what it has */
	MEMBER_LEFT, /* has finished and handed over its ledger */
	MEMBER_GONE, /* was silent for too long, or was replaced */
};

/* One member of a service's group: a target and its daemon. */
struct member_record {
	struct addr addr; /* of the daemon */
	uint64_t incarnation; /* wall time when it joined, in ms; only rises */
	enum member_state state;
	uint32_t slots; /* calls that the target runs at once */
	char dc[NAME_LEN];
	uint64_t start; /* of the target, by target_start_tag(); 0: unknown */
	bool start_ended; /* the target has said that this start ends */
};

/* A heartbeat, or a poll by a daemon that only calls the service. */
struct members_ask {
	char service[NAME_LEN];
	uint64_t digest; /* of the members that the asking daemon knows */
	uint64_t sent_us; /* on the asker's clock; returned in the answer */
	bool is_target; /* the asker is a member itself */
	/*
	 * The epoch of the owners in the asked daemon's data centre, as far as
	 * the asker knows it.
	 */
	uint64_t owners_epoch;
	struct member_record self; /* of the asker, with is_target */
};

/* The answer to a struct members_ask: the members that the daemon knows. */
struct members {
	char service[NAME_LEN];
	uint64_t sent_us; /* copied from struct members_ask */
	char owners_dc[NAME_LEN]; /* whose owners follow; empty: none do */
	bool owners_known; /* by the asked daemon */
	uint64_t owners_epoch;
	struct buffer owners_text; /* empty if the asker has that epoch */
	/* Of the answering member's target, as in struct reply: */
	uint32_t load_permille;
	struct threshold threshold;
	uint32_t pressure_permille;
	/* All known members, or none if the asker's digest is the same: */
	int count;
	struct member_record *records; /* owned */
};

/* A ledger record of a member that leaves, for the id's next owner. */
struct handover {
	char service[NAME_LEN];
	char org[NAME_LEN];
	char id[ID_LEN];
	bool last; /* no record: all records have been handed over */
	bool has_reply; /* the call ran and its reply is included */
	bool may_have_run; /* the call may have run, and nobody can know */
	struct reply reply;
};

/*
 * Identifies a configuration.  Of two the one with the higher revision is the
 * newer, and if these are equal the one with the later version.
 */
struct config_id {
	uint64_t revision; /* that the text states of itself; 0: none */
	uint64_t version; /* the position of its row in the platform's store */
	uint64_t digest; /* of the text */
};

/*
 * A version of the configuration, in full or as a change to an earlier one.
 * A change keeps the first prefix_bytes and the last suffix_bytes of the text
 * of base_version and puts text between them.  MSG_CONFIG_ASK uses the same
 * struct: there revision, version and digest are those of the configuration
 * that the asker has.
 */
struct config {
	uint64_t revision; /* as in struct config_id, as the others */
	uint64_t version;
	uint64_t digest; /* of the whole text, after a change was applied */
	uint64_t base_version; /* what a change applies to; 0: in full */
	uint64_t prefix_bytes;
	uint64_t suffix_bytes;
	uint64_t epoch; /* of the tree's root that the sender knows */
	uint64_t confirmed_age_ms; /* time since the platform confirmed it */
	uint64_t incarnation; /* of the asking daemon */
	struct addr redirect; /* the daemon to ask instead; zero: none */
	bool accepted; /* the sender is now the asker's parent */
	struct buffer text; /* empty if the asker has the version */
};

/*
 * The share of one organisation's rate: what the asker holds in
 * MSG_SHARE_ASK, what it is granted in MSG_SHARE.
 */
struct share_item {
	char org[NAME_LEN];
	double rate; /* calls per second */
	double burst; /* calls */
	double tokens; /* in an ask given back, in a grant added */
	double demand; /* calls per second at the asker and below it */
	/* In an ask, that of the last grant seen; 0: not an answer to one. */
	uint64_t grant_number;
	uint32_t waiting_calls; /* without a token, at the asker and below */
	uint32_t fetched_tokens; /* granted for those calls only */
	uint64_t fetched_ttl_us; /* they expire this long after sent_us */
	/* In a grant: give back so many tokens if they are spare. */
	uint32_t recalled_tokens;
};

/* The shares of several organisations, as asked for or as granted. */
struct share {
	uint64_t epoch; /* of the tree's root that the sender knows */
	bool for_pool; /* between a tree's root and the region's pool */
	char dc[NAME_LEN]; /* of the asking root, with for_pool */
	bool complete; /* with this ask, all that is held was reported */
	uint64_t incarnation; /* of the asking daemon */
	uint64_t sent_us; /* on the asker's clock; returned in the grant */
	uint64_t ttl_us; /* the grant is valid this long after sent_us */
	int count;
	struct share_item items[MSG_MAX_SHARES];
};

/* An announcement of the local target. */
struct announce {
	char service[NAME_LEN];
	char id[ID_LEN]; /* of this start of the target; may be empty */
	/* Wall time of the start on the target's clock; 0: unknown. */
	uint64_t started_ms;
	uint64_t seq; /* rises with each announcement of a start; 0: unknown */
	uint16_t port; /* of the target, on the local host */
	uint32_t slots; /* calls that the target runs at once */
	uint64_t warmup_ms; /* remaining time in which the target is slow */
	bool leaving; /* the target takes no new work */
	/* With leaving: only the target leaves, the daemon does not drain. */
	bool daemon_outlives_target;
};

/* The outcome of a read or write of a row. */
enum row_status {
	ROW_FOUND,
	ROW_ABSENT,
	ROW_UNCHANGED, /* a waiting read ended without a change of the row */
	ROW_WRITTEN,
	/* Not written: the row has this version, and this value unless empty */
	ROW_CONFLICT,
	ROW_UNKNOWN, /* no answer: a write may have taken effect */
	ROW_HISTORY_GONE, /* feed_position is too old: read again with 0 */
	ROW_STATUS_COUNT,
};

/* The version to give for a write that is not conditional. */
#define ROW_ANY_VERSION UINT64_MAX

/* A read or write of the platform's rows, and its answer. */
struct row {
	char key[ROW_KEY_LEN];
	/*
	 * In a write the version that the row must have, in an answer the one
	 * that it has; 0: there is no row.  This and feed_position are numbers
	 * of the store; the core makes positions of those of an answer.
	 */
	uint64_t version;
	bool key_is_prefix; /* read all rows whose keys begin with key */
	/*
	 * With key_is_prefix, the last row's key if the answer is not complete;
	 * the platform task reads on after it.
	 */
	char last_key[ROW_KEY_LEN];
	/*
	 * How long a read may wait for a change; in an answer 0 if the wait
	 * ended earlier, for the change of another row.
	 */
	uint64_t wait_ms;
	/*
	 * Position in the platform's change feed from which a waiting read
	 * asks for changes; 0: read the row itself.  Each answer updates it.
	 */
	uint64_t feed_position;
	uint64_t asked_us; /* when a read was sent: the answer may be as old */
	/*
	 * In an answer the store's era, which rises each time that the store
	 * comes back from a copy; 0: the store has none.
	 */
	uint64_t era;
	/*
	 * The position (core/position.h) whose version the request states as
	 * its condition or as where to wait for changes; 0: none.  Answers
	 * keep it.
	 */
	uint64_t based_on;
	enum row_status status; /* only in an answer */
	struct buffer value; /* for a prefix: "key version value\n" lines */
};

/* The configuration's limits on callers' requests; 0: the setting applies. */
struct caller_limits {
	uint64_t header_bytes;
	uint64_t body_bytes;
	uint64_t header_timeout_us; /* for receiving a request's headers */
	uint64_t idle_timeout_us; /* between two requests of a connection */
};

/* What an operator asks for. */
enum ops_verb {
	OPS_STATUS, /* the state of the daemon; see node_status() */
	OPS_EXPLAIN, /* the decisions about a call */
	OPS_DRAIN, /* let the daemon drain */
	OPS_SHOW, /* the text of the configuration in force */
	OPS_SUBMIT, /* a new configuration */
	OPS_LOG, /* the audit log of the configuration */
};

/* An operator's request, and the reply to it. */
struct ops {
	enum ops_verb verb;
	char argument[ID_LEN]; /* for OPS_EXPLAIN: an id or a call tree */
	char who[NAME_LEN]; /* the operator, for the audit log */
	/* The configuration that a submission changes, or that is in force. */
	uint64_t version;
	int status; /* HTTP status of a reply */
	struct buffer text; /* a submitted configuration, or the reply */
};

/* One message; its list or its holder owns it. */
struct msg {
	TAILQ_ENTRY(msg) entry;
	enum msg_kind kind;
	struct addr peer; /* the daemon it came from or goes to */
	uint64_t seq; /* pairs a request with its reply */
	/*
	 * For MSG_LINK_DOWN.  With a seq, only the try of that number was
	 * never sent.  With seq 0, the link was lost or could not be made;
	 * then may_have_sent says that bytes of any try may have left this
	 * daemon, and unsent_reported that each try that was not sent has
	 * been reported by a message of its own.
	 */
	bool may_have_sent;
	bool unsent_reported;
	bool queued_only; /* for MSG_CANCEL: only if the call still waits */
	/*
	 * For MSG_FORWARD and MSG_REPLY on a link: how many bytes of the body
	 * follow in MSG_PIECE; 0: the message has its body.
	 */
	uint64_t body_follows;
	/*
	 * For MSG_RUN: the request's body is charged to the account of memory
	 * by the connection of a local caller.
	 */
	bool body_is_charged;
	union {
		struct call call;
		struct reply reply;
		struct forward forward;
		struct piece piece;
		struct fate fate;
		struct members_ask members_ask;
		struct members members;
		struct handover handover;
		struct config config;
		struct share share;
		struct announce announce;
		struct row row;
		struct ops ops;
		struct caller_limits limits;
	} u;
};

TAILQ_HEAD(msg_list, msg);

/* Allocate a zeroed message of the kind. */
struct msg *msg_create(enum msg_kind);
/* Free a message and everything it owns; NULL is ignored. */
void msg_destroy(struct msg *);
/* Create a message for a peer and append it to the list. */
struct msg *msg_emit(
    struct msg_list *, enum msg_kind, struct addr peer, uint64_t seq);
/* Destroy every message of a list. */
void msg_list_clear(struct msg_list *);
/*
 * Bytes of the response that a message carries between tasks; the bytes of a
 * request are charged to the caller's connection, or to the job.
 */
size_t msg_reply_bytes(const struct msg *);
/* The name of a kind for logs, such as "forward"; a constant. */
const char *msg_kind_name(enum msg_kind);

/*
 * Requests and replies own their buffers.  Each of these frees what dst held
 * before, so dst has to be in use or all zeroes.  A move leaves src all zeroes.
 * After x_share() both have the same content, and their buffers may not be
 * changed; large bodies take memory only once.
 */
void request_move(struct request *dst, struct request *src);
void request_share(struct request *dst, struct request *src);
void request_release(struct request *);
void reply_move(struct reply *dst, struct reply *src);
void reply_share(struct reply *dst, struct reply *src);
void reply_release(struct reply *);
/* Turn an empty reply into a failure. */
void reply_fail(struct reply *, struct failure);

#endif
