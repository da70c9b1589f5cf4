#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "core/confstate.h"
#include "core/hash.h"

void
confstate_init(struct confstate *cs, const struct catalog_parser *parser)
{
	memset(cs, 0, sizeof(*cs));
	cs->parser = parser;
}

void
confstate_release(struct confstate *cs)
{
	catalog_destroy(cs->catalog);
	buffer_release(&cs->text);
	buffer_release(&cs->previous_text);
}

uint64_t
confstate_digest(const char *text, size_t len)
{
	return hash_bytes(text, len);
}

struct config_id
confstate_id(const struct confstate *cs)
{
	return (struct config_id){cs->revision, cs->version, cs->digest};
}

bool
config_id_equal(const struct config_id *a, const struct config_id *b)
{
	return a->revision == b->revision && a->version == b->version &&
	       a->digest == b->digest;
}

/* Whether a comes after b, whatever their texts are. */
static bool
id_is_newer(const struct config_id *a, const struct config_id *b)
{
	if (a->revision != b->revision)
		return a->revision > b->revision;
	return a->version > b->version;
}

static bool
has_text_in_force(const struct confstate *cs, uint64_t digest)
{
	return cs->version != 0 && digest == cs->digest;
}

/* What is in force ends the refusal of all that is not newer. */
static void
clear_refusal(struct confstate *cs)
{
	struct config_id in_force = confstate_id(cs);

	if (id_is_newer(&cs->refused, &in_force))
		return;
	cs->refused_us = 0;
	memset(&cs->refused, 0, sizeof(cs->refused));
}

bool
confstate_move(struct confstate *cs, const struct config_id *id)
{
	if (!has_text_in_force(cs, id->digest) || id->version <= cs->version)
		return false;
	cs->version = id->version;
	clear_refusal(cs);
	return true;
}

/* Build the whole text; false if it is missing or a change to another one. */
static bool
build_text(
    const struct confstate *cs, const struct config *c, struct buffer *text)
{
	size_t len = c->prefix_bytes + c->text.len + c->suffix_bytes;

	if (c->base_version == 0) {
		buffer_set(text, c->text.data, c->text.len);
		return c->text.len > 0;
	}
	if (c->base_version != cs->version || c->prefix_bytes > cs->text.len ||
	    c->suffix_bytes > cs->text.len - c->prefix_bytes)
		return false;
	text->data = xcalloc(1, len + 1);
	text->len = len;
	memcpy(text->data, cs->text.data, c->prefix_bytes);
	if (c->text.len > 0)
		memcpy(text->data + c->prefix_bytes, c->text.data, c->text.len);
	memcpy(text->data + len - c->suffix_bytes,
	    cs->text.data + cs->text.len - c->suffix_bytes, c->suffix_bytes);
	return true;
}

static void
pass_over(struct confstate *cs, const struct config *c, bool in_frames_only)
{
	struct conf_passed *p =
	    &cs->passed[cs->passed_added++ % CONF_PASSED_KEPT];

	p->version = c->version;
	p->digest = c->digest;
	p->in_frames_only = in_frames_only;
}

static bool
was_passed_over(const struct confstate *cs, const struct config *c, bool is_row)
{
	const struct conf_passed *p;
	int i;

	for (i = 0; i < CONF_PASSED_KEPT; i++) {
		p = &cs->passed[i];
		if (p->version == c->version && p->digest == c->digest &&
		    !(is_row && p->in_frames_only))
			return true;
	}
	return false;
}

/* The revision of an invalid text is not known, and counts as ours. */
static enum conf_result
refuse_text(struct confstate *cs, const struct config *c, struct instant now)
{
	struct config_id id = {c->revision, c->version, c->digest};

	if (id.revision < cs->revision)
		id.revision = cs->revision;
	if (cs->refused_us == 0)
		cs->refused_us = now.mono_us;
	if (id_is_newer(&id, &cs->refused))
		cs->refused = id;
	pass_over(cs, c, false);
	return CONF_REFUSED;
}

static void
put_in_force(struct confstate *cs, struct catalog *catalog,
    const struct config *c, struct buffer *text)
{
	cs->previous = confstate_id(cs);
	buffer_move(&cs->previous_text, &cs->text);
	buffer_move(&cs->text, text);
	catalog_destroy(cs->catalog);
	cs->catalog = catalog;
	cs->revision = catalog->revision;
	cs->version = c->version;
	cs->digest = c->digest;
	clear_refusal(cs);
}

static enum conf_result
adopt(struct confstate *cs, const struct config *c, struct buffer *text,
    bool is_row, struct instant now)
{
	struct catalog *catalog;
	uint64_t revision;

	catalog =
	    cs->parser->parse(text->data, text->len, cs->err, sizeof(cs->err));
	if (catalog == NULL)
		return refuse_text(cs, c, now);
	revision = catalog->revision;
	if (!is_row && c->revision != 0 && c->revision != revision) {
		catalog_destroy(catalog);
		pass_over(cs, c, true);
		snprintf(cs->err, sizeof(cs->err),
		    "its sender states the revision %" PRIu64
		    " and the text %" PRIu64,
		    c->revision, revision);
		return CONF_REFUSED;
	}
	if (cs->version != 0 && revision < cs->revision) {
		catalog_destroy(catalog);
		pass_over(cs, c, false);
		cs->lower_revision = revision;
		return CONF_LOWER;
	}
	put_in_force(cs, catalog, c, text);
	return CONF_ADOPTED;
}

/* A text that is not what its sender has; a change is asked for in whole. */
static enum conf_result
refuse_digest(struct confstate *cs, const struct config *c)
{
	if (c->base_version != 0)
		return CONF_NEED_WHOLE;
	pass_over(cs, c, true);
	snprintf(cs->err, sizeof(cs->err), "the text has another digest");
	return CONF_REFUSED;
}

/* The result if it can be told without the text; else CONF_ADOPTED. */
static enum conf_result
compare(const struct confstate *cs, const struct config *c, bool is_row)
{
	struct config_id in_force = confstate_id(cs);
	struct config_id id = {
	    is_row ? cs->revision : c->revision, c->version, c->digest};

	if (c->version == 0)
		return CONF_OLD;
	if (cs->version == 0)
		return CONF_ADOPTED;
	if (has_text_in_force(cs, c->digest) && c->version > cs->version)
		return CONF_MOVED;
	if (id_is_newer(&id, &in_force))
		return was_passed_over(cs, c, is_row) ? CONF_PASSED_OVER
						      : CONF_ADOPTED;
	return id_is_newer(&in_force, &id) ? CONF_OLD : CONF_SAME;
}

bool
confstate_may_adopt(
    const struct confstate *cs, const struct config *c, bool is_row)
{
	return compare(cs, c, is_row) == CONF_ADOPTED;
}

static enum conf_result
offer(struct confstate *cs, const struct config *c, bool is_row,
    struct instant now)
{
	struct config_id id = {c->revision, c->version, c->digest};
	enum conf_result ret = compare(cs, c, is_row);
	struct buffer text = {0};

	if (ret == CONF_MOVED)
		confstate_move(cs, &id);
	if (ret != CONF_ADOPTED)
		return ret;
	if (!build_text(cs, c, &text))
		ret = CONF_NEED_WHOLE;
	else if (confstate_digest(text.data, text.len) != c->digest)
		ret = refuse_digest(cs, c);
	else
		ret = adopt(cs, c, &text, is_row, now);
	buffer_release(&text);
	return ret;
}

enum conf_result
confstate_offer(
    struct confstate *cs, const struct config *c, struct instant now)
{
	return offer(cs, c, false, now);
}

enum conf_result
confstate_offer_row(
    struct confstate *cs, const struct config *c, struct instant now)
{
	return offer(cs, c, true, now);
}

void
confstate_confirm(
    struct confstate *cs, const struct config_id *id, uint64_t proved_us)
{
	struct config_id in_force = confstate_id(cs);

	if (!config_id_equal(id, &in_force))
		return;
	if (cs->refused_us != 0 && proved_us > cs->refused_us)
		proved_us = cs->refused_us;
	if (proved_us > cs->confirmed_us)
		cs->confirmed_us = proved_us;
}

static size_t
common_prefix(const struct buffer *a, const struct buffer *b)
{
	size_t n = a->len < b->len ? a->len : b->len, i = 0;

	while (i < n && a->data[i] == b->data[i])
		i++;
	return i;
}

static size_t
common_suffix(const struct buffer *a, const struct buffer *b, size_t prefix)
{
	size_t n = (a->len < b->len ? a->len : b->len) - prefix, i = 0;

	while (i < n && a->data[a->len - 1 - i] == b->data[b->len - 1 - i])
		i++;
	return i;
}

/* An asker of an earlier version states its position alone. */
static bool
is_up_to_date(const struct confstate *cs, const struct config_id *have)
{
	struct config_id in_force = confstate_id(cs);

	if (have->digest == 0)
		return have->version >= cs->version;
	return have->digest == cs->digest || id_is_newer(have, &in_force);
}

void
confstate_fill(
    const struct confstate *cs, struct config *c, const struct config_id *have)
{
	const struct buffer *old = &cs->previous_text, *new = &cs->text;

	c->revision = cs->revision;
	c->version = cs->version;
	c->digest = cs->digest;
	if (is_up_to_date(cs, have))
		return;
	if (have->version == 0 || cs->previous.version == 0 ||
	    (have->digest != 0 ? have->digest != cs->previous.digest
			       : have->version != cs->previous.version)) {
		buffer_set(&c->text, new->data, new->len);
		return;
	}
	c->base_version = have->version;
	c->prefix_bytes = common_prefix(old, new);
	c->suffix_bytes = common_suffix(old, new, c->prefix_bytes);
	buffer_set(&c->text, new->data + c->prefix_bytes,
	    new->len - c->prefix_bytes - c->suffix_bytes);
}
