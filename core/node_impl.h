/*
 * node_impl - the state of a node, and the functions its files share
 *
 * Included only by the files in core/ that implement a node:
 *
 * entry.c	calls from callers: authorisation, rate limit, answer
 * attempt.c	the tries of those calls: choice of target, retries
 * serve.c	calls at the target's daemon: ledger, queue, limit, reply
 * fate.c	answers to MSG_ASK_FATE, ledger records of members that leave
 * local_target.c	announcements of the local target
 * target_past.c	which of its starts ended before this process began
 * membership.c	groups: heartbeats, platform rows, joining and leaving
 * ownership.c	which member may run the ids of callers
 * leave.c	hand-over of the ledger by a member that leaves
 * confsync.c	the configuration: followed, passed on, confirmed
 * store_era.c	the order of the platform's answers over its returns
 * control.c	the tree: its root and its rate shares
 * pool.c	rates that the data centres of a region share
 * operator.c	requests from operators
 * node.c	dispatch of messages and ticks, state report
 *
 * A function x_handle_MESSAGE() handles the message of that name, or what it
 * holds.  It may take parts out of the message, but the caller still destroys
 * it.  A struct instant is the present time, and messages to send are appended
 * to the struct msg_list.
 *
 * Times named _us are on this daemon's monotonic clock, those named _ms are
 * wall time in milliseconds; durations use the same suffixes.
 */
#ifndef CORE_NODE_IMPL_H
#define CORE_NODE_IMPL_H

#include "core/decision_log.h"
#include "core/ended_row.h"
#include "core/histogram.h"
#include "core/ledger.h"
#include "core/node.h"
#include "core/pool.h"
#include "core/pressure.h"
#include "core/quota.h"
#include "core/retry.h"
#include "core/tree.h"
#include "core/window.h"

/* The most seed daemons, and the most recent peers, that a node keeps. */
#define MAX_SEEDS 8
/*
 * After a gap this long between two ticks, messages may have waited in
 * buffers, and for this long afterwards they are still being read.
 */
#define BACKLOG_GAP_US (500 * MSEC_US)
#define BACKLOG_READ_US (1 * SEC_US)
/* A gap this long between two ticks means that the process was suspended. */
#define SUSPEND_GAP_US (2 * SEC_US)
/*
 * The platform is taken for unreachable for this long after a request that it
 * did not answer, unless it has answered another since.
 */
#define PLATFORM_FAILURE_MAX_AGE_US (2 * SEC_US)
/* The most incarnations of its own, the latest, that a process remembers. */
#define MAX_OWN_INCARNATIONS 16

/* What a call at its entry daemon waits for. */
enum entry_state {
	ENTRY_NEW, /* nothing: it is being checked */
	ENTRY_WAIT_TOKEN, /* a token of the organisation's rate */
	ENTRY_WAIT_MEMBERS, /* members of the service, or the owners of ids */
	ENTRY_BACKOFF, /* the end of the back-off before a retry */
	ENTRY_WAIT_REPLY, /* the reply to the try in flight */
	ENTRY_ASK_FATE, /* the fate of a try whose link broke */
};

/* A call at its entry daemon, the one that received it from the caller. */
struct entry_call {
	RB_ENTRY(entry_call) by_front_seq;
	RB_ENTRY(entry_call) by_try_seq;
	uint64_t front_seq; /* the front task's number for the call */
	uint64_t try_seq; /* of the try in flight; 0: none */
	enum entry_state state;
	struct call call; /* as received; owns the request */
	char service[NAME_LEN];
	char route[PATH_LEN]; /* the path prefix of the matching route */
	char id[ID_LEN]; /* the caller's or a generated one; may be empty */
	char id_dc[NAME_LEN]; /* the data centre whose members own the id */
	uint64_t id_stamp_ms; /* the time of issue that the id carries */
	bool idempotent; /* by the route, when it was admitted */
	uint64_t config_version; /* that the route was of */
	bool owned; /* the id is the caller's: only its owner may run it */
	bool org_from_key; /* the caller's key determined the organisation */
	bool rate_limited; /* counts against the organisation's rate */
	bool token_taken; /* a token of that rate was taken */
	double refusal_pressure; /* the pressure it was shed for, 0 to 1 */
	bool may_have_run; /* an earlier try of this call may have run */
	struct failure last_failure; /* of the latest failed try */
	struct call_context context; /* what the tries carry */
	struct balance_call balance; /* what the choice of target needs */
	uint64_t received_us;
	uint64_t deadline_us;
	uint64_t route_timeout_us; /* 0: none */
	uint64_t route_goal_us; /* an answer is worth less after; 0: none */
	bool likely_retry; /* its caller was most likely refused before */
	uint64_t wake_us; /* when entry_tick() resumes the call */
	uint64_t ask_fate_until_us; /* when to stop asking for the fate */
	struct addr target; /* daemon of the present or latest try */
	uint64_t target_incarnation;
	uint32_t allowance; /* extra tries that may still be made */
	uint32_t tree_tries; /* made for it here and in the call tree below */
	uint32_t retries; /* made here with a back-off */
	uint32_t targets_reached; /* tries whose target may have seen bytes */
	uint32_t max_targets; /* bound on targets_reached; 0: none */
	uint64_t parent_job; /* seq of the job that made the call; 0: none */
};

/* A call at the daemon of its target. */
struct job {
	RB_ENTRY(job) by_seq;
	uint64_t seq; /* unique here; sub-calls carry it in their context */
	struct addr entry_daemon;
	uint64_t entry_seq; /* the entry daemon's number for the try */
	struct forward forward; /* as received; owns the request */
	struct shed_item queue_item; /* its place in the queue */
	struct ledger_record *record; /* NULL for an idempotent call */
	uint64_t started_us; /* 0 while it waits */
	uint64_t deadline_us;
	uint32_t allowance; /* extra tries that its sub-calls may use */
	uint32_t tries; /* made for its sub-calls */
	struct node *node;
	struct holder memory; /* of the request while it waits */
	bool gave_way; /* to be refused */
};

RB_HEAD(entry_by_front_seq, entry_call);
RB_HEAD(entry_by_try_seq, entry_call);
RB_HEAD(job_tree, job);
RB_HEAD(group_tree, group);

RB_PROTOTYPE(entry_by_front_seq, entry_call, by_front_seq, entry_front_seq_cmp);
RB_PROTOTYPE(entry_by_try_seq, entry_call, by_try_seq, entry_try_seq_cmp);
RB_PROTOTYPE(job_tree, job, by_seq, job_cmp);
RB_PROTOTYPE(group_tree, group, entry, group_cmp);

/* A start of the target that seems to be earlier than the known one. */
struct earlier_start {
	char id[ID_LEN];
	uint64_t started_ms;
	uint64_t seq; /* of its last announcement */
	uint64_t first_us; /* when its first one in this series arrived */
	unsigned int count; /* announcements in the series */
};

/* The target beside this daemon, as its announcements describe it. */
struct local_target {
	char service[NAME_LEN];
	char id[ID_LEN]; /* of its present start */
	uint64_t started_ms; /* time of that start, by the target's clock */
	uint64_t announce_seq; /* of the last announcement accepted */
	uint64_t announced_us; /* when that arrived */
	struct earlier_start earlier;
	uint32_t slots; /* calls that it can run at once */
	bool present; /* a target announced itself to this daemon */
	bool leaving; /* takes no new work */
	bool left; /* its work is done, and it told the group that it left */
	bool announcements_stopped; /* leaves because announcements stopped */
	uint64_t ownership_end_ms; /* it owns no ids stamped from here on */
	uint64_t mean_service_us; /* moving average of the service time */
	unsigned int running; /* jobs handed to it and not finished */
	struct limit limit; /* how many may run at once */
	struct windows windows; /* how many call trees may */
	struct pressure pressure; /* of its own queue */
	double recent_finished; /* jobs that finished; decays exponentially */
	/* See serve_reported_pressure_permille(). */
	uint32_t reported_pressure_permille;
	struct shed_queue *queue; /* owned; NULL until a target is present */
};

/*
 * What earlier processes of this daemon knew of the target; see target_past.c.
 */
struct target_past {
	struct target_start ended; /* the last start known to have ended */
	struct own_row row; /* that names it in the platform */
	uint64_t waiting_seq; /* of an announcement to acknowledge; 0: none */
	bool known; /* a target may join */
	bool answered; /* the platform has shown the row */
	uint64_t asked_us; /* last read of it; 0: none yet */
	bool holds; /* an announcement waits until the past is known */
	struct announce held;
	uint64_t held_since_us; /* first announcement of that start */
	/* The read sent once they had gone on for a while; 0: not yet. */
	uint64_t goes_on_seq;
};

/* An operator's new configuration that is being written to the platform. */
struct submission {
	uint64_t seq; /* of the operator's request; 0: none in progress */
	uint64_t base_version; /* the version that it replaces */
	uint64_t due_us; /* when to act if no answer has come */
	unsigned int rounds; /* writes and timeouts so far */
	bool outcome_unknown; /* a write may have taken effect */
	char mark[NAME_LEN]; /* random; by it our own row is recognised */
	struct buffer text; /* the row's new value */
};

/* The state of one daemon. */
struct node {
	struct node_setup setup;
	struct addr seeds[MAX_SEEDS]; /* setup.nseeds of them */
	/* Ring of the daemons that most recently became known as peers. */
	struct addr recent_peers[MAX_SEEDS];
	unsigned int recent_peers_added; /* added so far */
	struct counters counters;
	struct histogram answer_latency; /* of calls answered completely */
	struct histogram refusal_latency; /* of calls that failed */
	struct histogram queue_wait; /* of jobs, for the local target */
	struct confstate conf;
	struct quota *quota;
	struct tree tree;
	struct pool pool;
	struct decision_log *decision_log;
	struct group_tree groups; /* one for each service in use */
	struct entry_by_front_seq calls; /* all calls of callers; owned */
	struct entry_by_try_seq tries; /* those with a try in flight */
	size_t ncalls;
	struct job_tree jobs; /* at the local target; owned */
	size_t njobs;
	struct ledger *ledger;
	struct local_target target;
	struct target_past past;
	struct submission submission;
	struct msg_list loopback; /* messages from this daemon to itself */
	/* MSG_FORWARD messages that wait for proof that we own their id. */
	struct msg_list awaiting_proof;
	struct holder awaiting_memory; /* of their requests */
	struct holder ledger_memory; /* of the replies that it keeps */
	bool jobs_gave_way; /* some job has, see serve_refuse_gave_way() */
	struct announce_outcome announce_outcome; /* for the log */
	/* The row that was ignored last, and why; for the log. */
	char odd_row[ROW_KEY_LEN + 64];
	struct store_return store_return; /* the last one */
	bool store_heard; /* the store's era is known */
	/* A peer told a position of an era before the first one known here. */
	bool earlier_era_heard;
	/* The configuration that was not adopted last, and why; for the log. */
	char config_fault[640];
	/* The highest incarnation at our address that others know. */
	uint64_t highest_known_incarnation;
	/* Ring of the incarnations that the target had in this process. */
	uint64_t own_incarnations[MAX_OWN_INCARNATIONS];
	unsigned int own_incarnations_added; /* added so far */
	/* Of the call trees that begin here. */
	struct importance_mix importance_mix;
	uint64_t rng; /* state of the random number generator */
	uint64_t first_seq; /* node_next_seq() gives out the numbers after it */
	uint64_t next_seq; /* last number that node_next_seq() gave out */
	uint64_t last_tick_us;
	uint64_t backlog_until_us; /* see node_reads_backlog() */
	uint64_t last_slow_tick_us; /* the last slow tick; 0: none yet */
	bool draining;
	bool calls_abandoned; /* the grace period ended before all calls did */
	uint64_t drain_start_us; /* when draining began */
};

/* entry.c */
/* Accept a call from the front task, which may be refused at once. */
void entry_handle_call(
    struct node *, struct msg *, struct instant, struct msg_list *);
/* The caller closed its connection: cancel its call. */
void entry_handle_call_gone(
    struct node *, uint64_t front_seq, struct msg_list *);
void entry_handle_reply(
    struct node *, struct msg *, struct instant, struct msg_list *);
void entry_handle_fate(
    struct node *, struct msg *, struct instant, struct msg_list *);
/*
 * The link to a daemon is down.  may_have_sent says that bytes of tries may
 * have left this daemon on it.
 */
void entry_handle_link_down(struct node *, struct addr, bool may_have_sent,
    struct instant, struct msg_list *);
/* Fail all calls, because the daemon's grace period ends. */
void entry_fail_all(struct node *, struct instant, struct msg_list *);
/* The try of that number to that daemon was never sent. */
void entry_try_unsent(struct node *, struct addr, uint64_t seq, struct instant,
    struct msg_list *);
/* Resume the calls that are due. */
void entry_tick(struct node *, struct instant, struct msg_list *);
/* The configuration changed: check the keys of all calls again. */
void entry_recheck_keys(struct node *, struct instant, struct msg_list *);
/* Tokens or members arrived: resume the calls that wait for them. */
void entry_resume_waiting(struct node *, struct instant, struct msg_list *);

/* Shared by entry.c and attempt.c. */
/* End the call with a reply, whose content is moved out; frees the call. */
void entry_answer(struct node *, struct entry_call *, struct reply *,
    struct instant, struct msg_list *);
/* End the call with a failure; frees the call. */
void entry_fail(struct node *, struct entry_call *, enum verdict, enum reason,
    struct instant, struct msg_list *);
/* Let the call wait in a state until until_us, at most to its deadline. */
void entry_suspend(struct entry_call *, enum entry_state, uint64_t until_us);
/*
 * Whether the call may be sent once more although it may have run.  Both the
 * configuration by which it was admitted and the one in force have to allow it.
 */
bool entry_may_repeat(struct node *, const struct entry_call *);
/*
 * Check that before a try.  A call that has not run, and that may by now run
 * only once, gets an id for that.  Returns false, and sets *f unless the call
 * may have run, if it cannot be sent.
 */
bool entry_recheck_repeat(
    struct node *, struct entry_call *, struct instant, struct failure *f);
/* Give the call a new id of this daemon's own. */
void entry_generate_id(struct node *, struct entry_call *, struct instant);
/* Send the next try, or wait, or end the call, which frees it. */
void attempt_next(
    struct node *, struct entry_call *, struct instant, struct msg_list *);
/* Ask the target's daemon what became of the try in flight. */
void attempt_ask_fate(
    struct node *, struct entry_call *, struct instant, struct msg_list *);
/* Forget the try in flight, if there is one. */
void attempt_clear(struct node *, struct entry_call *);

/* serve.c */
void serve_handle_forward(
    struct node *, struct msg *, struct instant, struct msg_list *);
/* The local target has finished a job (MSG_RUN_DONE). */
void serve_handle_run_done(
    struct node *, struct msg *, struct instant, struct msg_list *);
void serve_handle_cancel(
    struct node *, struct msg *, struct instant, struct msg_list *);
/* Refuse a forwarded call for which no job was made. */
void serve_refuse_forward(struct node *, const struct msg *, enum reason,
    struct instant, struct msg_list *);
/* Refuse the jobs that had to free the memory of their requests. */
void serve_refuse_gave_way(struct node *, struct instant, struct msg_list *);
/* Refuse all jobs that wait, as the target leaves and will not run them. */
void serve_refuse_queued(
    struct node *, enum reason, struct instant, struct msg_list *);
/* Update averages and thresholds; called about ten times a second. */
void serve_slow_tick(struct node *, struct instant);
/* Start the jobs that the limit allows and refuse those that expired. */
void serve_tick(struct node *, struct instant, struct msg_list *);
/* The shedding policy: that of the settings, or else of the configuration. */
const struct shedder *serve_shedder(const struct node *);
/*
 * The pressure to report to entry daemons, in thousandths: the maximum of that
 * of the local target and, slightly reduced, those of the services that it
 * depends on.
 */
uint32_t serve_reported_pressure_permille(struct node *, struct instant);
/* Find a job by its number; NULL if it has ended. */
struct job *serve_find_job(struct node *, uint64_t seq);
/* Free all jobs and the queue. */
void serve_destroy(struct node *);

/* Shared by serve.c and fate.c: the two kinds of reply to a try. */
/* Send a failure, and return the allowance that was not used. */
void serve_send_failure(struct node *, struct addr to, uint64_t seq,
    struct failure, uint32_t allowance, struct msg_list *);
/* Send a kept reply once more, with the present load and no allowance. */
void serve_share_reply(struct node *, struct addr to, uint64_t seq,
    struct reply *, struct msg_list *);

/* fate.c */
void serve_handle_ask_fate(
    struct node *, struct msg *, struct instant, struct msg_list *);
void serve_handle_handover(struct node *, struct msg *, struct instant);

/* membership.c */
/* Find the group of a service, or create it. */
struct group *membership_find_or_create(struct node *, const char *service);
/* Find the group of a service, or return NULL. */
struct group *membership_find(struct node *, const char *service);
void membership_handle_members_ask(
    struct node *, struct msg *, struct instant, struct msg_list *);
void membership_handle_members(
    struct node *, struct msg *, struct instant, struct msg_list *);
/* An answer of the platform about a member's row or an owners' row. */
void membership_handle_row(
    struct node *, struct msg *, struct instant, struct msg_list *);
/*
 * Ask other daemons for a group's members, or read its rows, unless done just
 * before.
 */
void membership_read_rows(
    struct node *, struct group *, struct instant, struct msg_list *);
/* The local target leaves: it takes no new work. */
void membership_leave(struct node *, struct instant, struct msg_list *);
/* The daemon drains, and its target leaves. */
void membership_drain(struct node *, struct instant, struct msg_list *);
/* Ask one daemon what it knows of a group. */
void membership_send_ask(struct node *, struct group *, struct addr,
    struct instant, struct msg_list *);
/* Remember a peer, to ask it when no members are known. */
void membership_note_peer(struct node *, struct addr);
/* Mark a daemon as unreachable until it is heard from again. */
void membership_handle_link_down(struct node *, struct addr);
/* The store came back from a copy: our rows have to be written again. */
void membership_store_returned(struct node *, struct instant);
void membership_tick(struct node *, struct instant, struct msg_list *);
void membership_destroy(struct node *);
/*
 * Remove this daemon's member row of a service if an earlier process left it
 * there, although the target has ended.
 */
void membership_remove_earlier_row(
    struct node *, const char *service, struct instant, struct msg_list *);

/* local_target.c */
void local_target_handle_announce(
    struct node *, struct msg *, struct instant, struct msg_list *);
/* Act on an announcement, which may have been held back for some time. */
void local_target_take(
    struct node *, const struct announce *, struct instant, struct msg_list *);
/* The local target's start ends: it leaves, and no later process uses it. */
void local_target_has_ended(struct node *, struct instant, struct msg_list *);
/* A number that tells its present start from others; 0: unknown. */
uint64_t local_target_start_tag(const struct node *);
/* Let the local target leave once its announcements have stopped. */
void local_target_tick(struct node *, struct instant, struct msg_list *);

/* target_past.c */
/*
 * Whether an announcement that would make the target join has to wait until it
 * is known which start ended before this process began.  It is kept, and taken
 * with local_target_take() once that is known.
 */
bool target_past_holds(
    struct node *, const struct announce *, struct instant, struct msg_list *);
/* The start of the local target ends: write that to the platform. */
void target_past_record_end(struct node *, struct instant, struct msg_list *);
/*
 * Answer the announcement of that number with MSG_ANNOUNCED once the last end
 * is written; 0: no answer is wanted.
 */
void target_past_acknowledge(struct node *, uint64_t seq, struct msg_list *);
/* An answer of the platform about the row that target_past.c keeps. */
void target_past_handle_row(
    struct node *, struct msg *, struct instant, struct msg_list *);
void target_past_tick(struct node *, struct instant, struct msg_list *);

/* Shared by membership.c, local_target.c, ownership.c and leave.c. */
/* Make the local target a member under a new incarnation. */
void membership_join(
    struct node *, struct group *, struct instant, struct msg_list *);
/* Send a heartbeat with the present state to all members at once. */
void membership_broadcast(
    struct node *, struct group *, struct instant, struct msg_list *);
/* The local target of another service has taken the place of this group's. */
void membership_replace(
    struct node *, struct group *, struct instant, struct msg_list *);
/* Write the local target's member row, or remove it once it has left. */
void membership_write_own_row(
    struct node *, struct group *, struct instant, struct msg_list *);
/* Finish leaving if nothing runs any more and the ownership has ended. */
void leave_try_finish(
    struct node *, struct group *, struct instant, struct msg_list *);

/* ownership.c */
/* The owner table of our own data centre. */
struct owner_table *ownership_table(struct node *, struct group *);
/* The owner of an id of a data centre, as far as this daemon knows. */
struct owner ownership_find(struct node *, struct group *, const char *dc,
    const char *id, uint64_t stamp_ms, struct instant);
/* Hold a forwarded call, whose request is moved out, until proof arrives. */
void ownership_await_proof(struct node *, struct group *, struct msg *,
    struct instant, struct msg_list *);
/* An answer of the platform about the owners' row of our data centre. */
void ownership_handle_row(struct node *, struct group *, struct row *,
    struct instant, struct msg_list *);
/* Learn the owners of a member's data centre; true if anything changed. */
bool ownership_merge_members(struct group *, const struct members *);
/* Ask for the owners of a data centre, which are unknown or outdated. */
void ownership_refresh(struct node *, struct group *, const char *dc,
    struct instant, struct msg_list *);
/* Fill in what we know of the owners of our own data centre. */
void ownership_fill_members(struct node *, struct group *,
    const struct members_ask *, struct members *reply);
/* Whether our ownership has ended, after we began to leave. */
bool ownership_has_ended(struct node *, struct group *, struct instant);
void ownership_tick(
    struct node *, struct group *, struct instant, struct msg_list *);

/* confsync.c */
/* What a peer states of its configuration. */
struct config_id confsync_stated(const struct config *);
/*
 * Fill in what is in force, for a daemon that has another configuration; sent
 * is NULL unless it is a neighbour in the tree.
 */
void confsync_fill(struct node *, struct config *, const struct config_id *have,
    struct config_sent *sent, struct instant);
/* Send the same; returns what is sent, which the list owns. */
struct config *confsync_send(struct node *, struct addr to,
    const struct config_id *have, struct config_sent *sent, struct instant,
    struct msg_list *);
/* Ask a daemon for its configuration, stating that we have this one. */
void confsync_ask(struct node *, struct addr to, const struct config_id *have,
    struct instant, struct msg_list *);
/*
 * Send what came into force to the neighbours in the tree, but not to its
 * sender.  The parent most likely has what we had; else it asks.
 */
void confsync_propagate(struct node *, struct addr except,
    const struct config_id *had, struct instant, struct msg_list *);
/*
 * A neighbour states an older configuration: send it ours, so that it need not
 * wait for the store.
 */
void confsync_correct_neighbour(struct node *, struct addr peer,
    const struct config_id *stated, struct instant, struct msg_list *);
/*
 * Take over a configuration from a row or a daemon, or the later position of
 * ours.
 */
enum conf_result confsync_offer(struct node *, const struct config *,
    bool is_row, struct addr from, struct instant, struct msg_list *);
/* A daemon confirms what it states, as of its age before told_us. */
void confsync_confirm_stated(
    struct node *, const struct config *, uint64_t told_us);
/*
 * An answer of the platform about the configuration.  It confirms what is in
 * force only if the row that it shows, or that a wait without a change was for,
 * is the one that is in force.
 */
void confsync_handle_row(
    struct node *, struct row *, struct instant, struct msg_list *);
/* Follow the configuration in the platform, where this daemon has to. */
void confsync_read(struct node *, struct instant, struct msg_list *);
/*
 * Whether calls may rely on the configuration.  A store that has come back may
 * show the older one of its copy, so a daemon that was started hears its parent
 * first, or another daemon if it has none, unless for a short time none of them
 * answers.  A store of era 0 has never come back.
 */
bool confsync_is_trusted(const struct node *);
/* A daemon has stated its configuration, and has no newer one than ours. */
void confsync_heard(struct node *, struct addr peer, const struct config *);
void confsync_tick(struct node *, struct instant);
/* Set the rates of all organisations as the configuration in force says. */
void confsync_set_totals(struct node *);

/* control.c */
void control_handle_config_ask(
    struct node *, struct msg *, struct instant, struct msg_list *);
void control_handle_config(
    struct node *, struct msg *, struct instant, struct msg_list *);
void control_handle_share_ask(
    struct node *, struct msg *, struct instant, struct msg_list *);
void control_handle_share(
    struct node *, struct msg *, struct instant, struct msg_list *);
/* An answer of the platform about the configuration or the tree's root. */
void control_handle_row(
    struct node *, struct msg *, struct instant, struct msg_list *);
/*
 * Turn the answer to a claim of the row of a tree's or pool's root into the
 * row that it shows; false if the row has to be read.
 */
bool control_claim_shows_row(
    const struct node *, struct row *, uint64_t claim_sent_us, struct instant);
/* For may_have_sent see entry_handle_link_down(). */
void control_handle_link_down(
    struct node *, struct addr, bool may_have_sent, struct instant);
/* Ask the parent for shares now, if any are due. */
void control_request_shares(struct node *, struct instant, struct msg_list *);
/* Send tokens to the children whose calls wait for them, and ask for more. */
void control_grant_waiting(struct node *, struct instant, struct msg_list *);
void control_tick(struct node *, struct instant, struct msg_list *);

/* pool.c */
/* Whether this daemon's data centre shares rates with others. */
bool pool_is_used(const struct node *);
/* Set an organisation's total rate and burst in the region. */
void pool_set_total(struct node *, const char *org, double rate, double burst);
/* An answer of the platform about the pool's root. */
void pool_handle_row(
    struct node *, struct row *, struct instant, struct msg_list *);
void pool_handle_link_down(struct node *, struct addr, bool may_have_sent);
/* This daemon became the root of its tree: it reports all it holds again. */
void pool_tree_root_changed(struct node *);
void pool_handle_share_ask(
    struct node *, struct msg *msg, struct instant now, struct msg_list *out);
/* As the pool's root, send tokens to data centres whose calls wait. */
void pool_grant_waiting(struct node *, struct instant, struct msg_list *);
/* Ask the pool's root for shares now, if any are due. */
void pool_request_shares(struct node *, struct instant, struct msg_list *);
void pool_handle_share(struct node *, const struct share *, struct instant now);
/* A daemon that became the pool's root later tells this one, its root. */
void pool_yield_root(
    struct node *, struct addr successor, uint64_t epoch, struct instant);
void pool_tick(struct node *, struct instant now, struct msg_list *out);

/* store_era.c */
/*
 * Note the store's era; from is the daemon that told it, zero for the store's
 * own answer.  A higher one than before means that the store came back from a
 * copy.
 */
void store_note_era(
    struct node *, uint64_t era, struct addr from, struct instant);
/*
 * The epoch that a peer states; one of an earlier version states no era, and is
 * taken to be in the present one.
 */
uint64_t store_peer_epoch(const struct node *, uint64_t epoch);
/*
 * Make positions of the versions in an answer of the store.  An answer of an
 * earlier era than the present one becomes ROW_UNKNOWN; one of a later era,
 * to a request that was based on an earlier one, lets the row be read again.
 */
void store_admit_answer(struct node *, struct row *, struct instant);
/* Whether the store still has the changes up to this position. */
bool store_is_of_present_era(const struct node *, uint64_t position);
/*
 * Answer a write with ROW_CONFLICT in place of the store, since the version in
 * its condition may have been given out again.
 */
void store_refuse_write(struct node *, const char *key);
/*
 * Whether nothing can have been lost before this position, which is that of a
 * row's first version or of its absence.
 */
bool store_is_first_version(const struct node *, uint64_t position);

/* operator.c */
void operator_handle_ops(
    struct node *, struct msg *, struct instant, struct msg_list *);
/* An answer of the platform about the configuration row. */
void operator_handle_row(
    struct node *, struct msg *, struct instant, struct msg_list *);
void operator_tick(struct node *, struct instant, struct msg_list *);

/* node.c */
/*
 * A number that no other message or job has, of this process or of an earlier
 * one at its address.
 */
uint64_t node_next_seq(struct node *);
/*
 * Whether the last tick was long ago, since the process was paused or busy.
 * What a silent peer sent meanwhile may not have been read yet.
 */
bool node_stood_still(const struct node *, struct instant);
/*
 * Whether a message that is handled now may have waited in a buffer, since the
 * process was paused or busy, so that nobody can tell how old it is.
 */
bool node_reads_backlog(const struct node *, struct instant);
/*
 * Whether this process gave out the number.  A peer's answer with another one
 * is meant for an earlier process at this address.
 */
bool node_sent_seq(const struct node *, uint64_t seq);
/*
 * Ask the platform for a row, or for all rows that begin with the key.
 * Returns the request, which the list owns.
 */
struct row *node_read_row(
    struct node *, const char *key, bool prefix, struct msg_list *);
/* Note that a row was ignored, since another writer left it. */
void node_record_odd_row(struct node *, const char *key, const char *fault);
/*
 * Ask the platform to write a row if it is at the given position, or in any
 * case with ROW_ANY_VERSION.  Returns the number of the request.
 */
uint64_t node_write_row(struct node *, const char *key, uint64_t position,
    const char *value, size_t len, struct msg_list *);

#endif
