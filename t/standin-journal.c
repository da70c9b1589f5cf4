#include <stdbool.h>
#include <string.h>

#include "t/standin-journal.h"

struct journal {
	TAILQ_HEAD(change_list, change) changes; /* in the order of versions */
	uint64_t version;
};

struct journal *
journal_create(void)
{
	struct journal *j = g_new0(struct journal, 1);

	TAILQ_INIT(&j->changes);
	return j;
}

void
journal_destroy(struct journal *j)
{
	journal_truncate(j, 0);
	g_free(j);
}

uint64_t
journal_version(const struct journal *j)
{
	return j->version;
}

void
journal_begin(struct journal *j)
{
	j->version++;
}

void
journal_add(struct journal *j, const char *table, const char *part,
    const char *key, const char *value)
{
	struct change *c = g_new0(struct change, 1);

	c->table = g_strdup(table);
	c->part = g_strdup(part);
	c->key = g_strdup(key);
	c->value = g_strdup(value);
	c->version = j->version;
	TAILQ_INSERT_TAIL(&j->changes, c, entry);
}

const struct change *
journal_find(const struct journal *j, uint64_t version, const char *table,
    const char *part, const char *key)
{
	struct change *c;

	TAILQ_FOREACH_REVERSE(c, &j->changes, change_list, entry)
	{
		if (c->version <= version && strcmp(c->key, key) == 0 &&
		    strcmp(c->part, part) == 0 && strcmp(c->table, table) == 0)
			return c;
	}
	return NULL;
}

void
journal_each(const struct journal *j, const char *table, uint64_t after,
    uint64_t version, void (*cb)(const struct change *, void *), void *arg)
{
	struct change *c;

	TAILQ_FOREACH (c, &j->changes, entry) {
		if (c->version > after && c->version <= version &&
		    strcmp(c->table, table) == 0 &&
		    journal_find(j, version, table, c->part, c->key) == c)
			cb(c, arg);
	}
}

void
journal_truncate(struct journal *j, uint64_t version)
{
	struct change *c;

	while ((c = TAILQ_LAST(&j->changes, change_list)) != NULL &&
	       c->version > version) {
		TAILQ_REMOVE(&j->changes, c, entry);
		g_free(c->table);
		g_free(c->part);
		g_free(c->key);
		g_free(c->value);
		g_free(c);
	}
	j->version = version;
}
