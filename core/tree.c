#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/hash.h"
#include "core/tree.h"

void
tree_init(struct tree *t)
{
	memset(t, 0, sizeof(*t));
	TAILQ_INIT(&t->children);
}

static void
remove_child(struct tree *t, struct tree_child *c)
{
	TAILQ_REMOVE(&t->children, c, entry);
	t->nchildren--;
	free(c);
}

void
tree_release(struct tree *t)
{
	struct tree_child *c;

	while ((c = TAILQ_FIRST(&t->children)) != NULL)
		remove_child(t, c);
}

struct tree_child *
tree_child(struct tree *t, struct addr addr)
{
	struct tree_child *c;

	TAILQ_FOREACH (c, &t->children, entry) {
		if (addr_equal(c->addr, addr))
			return c;
	}
	return NULL;
}

void
tree_remove_child(struct tree *t, struct addr addr)
{
	struct tree_child *c = tree_child(t, addr);

	if (c != NULL)
		remove_child(t, c);
}

static struct addr
random_child(struct tree *t, uint64_t *rng)
{
	struct tree_child *c = TAILQ_FIRST(&t->children);
	uint64_t i = rng_below(rng, t->nchildren);

	while (i-- > 0)
		c = TAILQ_NEXT(c, entry);
	return c->addr;
}

bool
tree_admit(struct tree *t, struct addr addr, const struct config_id *have,
    uint64_t now_us, uint64_t *rng, struct addr *redirect)
{
	struct tree_child *c = tree_child(t, addr);

	if (c == NULL && t->nchildren >= TREE_MAX_CHILDREN) {
		*redirect = random_child(t, rng);
		return false;
	}
	if (c == NULL) {
		c = xcalloc(1, sizeof(*c));
		c->addr = addr;
		TAILQ_INSERT_TAIL(&t->children, c, entry);
		t->nchildren++;
	}
	c->last_heard_us = now_us;
	c->config = *have;
	return true;
}

void
tree_tick(struct tree *t, uint64_t now_us)
{
	struct tree_child *c, *next;

	TAILQ_FOREACH_SAFE (c, &t->children, entry, next) {
		if (now_us - c->last_heard_us > TREE_CHILD_TIMEOUT_US)
			remove_child(t, c);
	}
}

void
tree_set_parent(struct tree *t, struct addr addr, uint64_t now_us)
{
	t->parent = addr;
	t->accepted = false;
	t->parent_differs = false;
	memset(&t->config_sent, 0, sizeof(t->config_sent));
	t->parent_heard_us = now_us;
	t->config_asked_us = 0;
}

void
tree_note_ask(struct tree *t, uint64_t seq, uint64_t now_us)
{
	struct tree_ask *a = &t->asks[t->asks_added++ % TREE_ASKS_KEPT];

	a->seq = seq;
	a->sent_us = now_us;
}

uint64_t
tree_ask_sent_us(const struct tree *t, uint64_t seq)
{
	int i;

	for (i = 0; i < TREE_ASKS_KEPT; i++) {
		if (seq != 0 && t->asks[i].seq == seq)
			return t->asks[i].sent_us;
	}
	return 0;
}

void
tree_format_root(
    char text[TREE_ROOT_LEN], struct addr root, uint64_t incarnation)
{
	snprintf(text, TREE_ROOT_LEN, "%" PRIu32 ":%u:%" PRIu64, root.ip,
	    root.port, incarnation);
}

bool
tree_parse_root(const char *text, struct addr *root, uint64_t *incarnation)
{
	uint64_t ip, port;

	if (text == NULL || !uint_parse(&text, UINT32_MAX, &ip) || ip == 0 ||
	    *text++ != ':' || !uint_parse(&text, UINT16_MAX, &port) ||
	    port == 0 || *text++ != ':' ||
	    !uint_parse(&text, UINT64_MAX, incarnation) || *text != '\0')
		return false;
	root->ip = (uint32_t)ip;
	root->port = (uint16_t)port;
	return true;
}

bool
addr_is_set(struct addr a)
{
	return a.port != 0;
}
