/*
 * bench-frame - size on the wire and processor time of frames
 *
 * Prints "kind bytes encode_ns decode_ns" lines.  The number in a kind's name
 * counts its member records (members-16) or organisations (share-8).
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "core/group.h"
#include "wire/frame.h"

static double
cpu_ns(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return ts.tv_sec * 1e9 + ts.tv_nsec;
}

/* Measures a message and destroys it. */
static void
measure(const char *name, struct msg *m)
{
	struct buffer buf = {0};
	struct msg *got;
	double start_ns, encode_ns, decode_ns;
	size_t used, len;
	int i, rounds = 20000;

	start_ns = cpu_ns();
	for (i = 0; i < rounds; i++)
		frame_encode(m, &buf);
	encode_ns = (cpu_ns() - start_ns) / rounds;
	start_ns = cpu_ns();
	for (i = 0; i < rounds; i++) {
		if (frame_decode((uint8_t *)buf.data, buf.len, &got, &used) !=
		    FRAME_OK)
			exit(128);
		msg_destroy(got);
	}
	decode_ns = (cpu_ns() - start_ns) / rounds;
	len = buf.len;
	printf("%-24s %8zu %10.0f %10.0f\n", name, len, encode_ns, decode_ns);
	buffer_release(&buf);
	msg_destroy(m);
}

static void
fill_member(struct member_record *r, int i)
{
	r->addr.ip = 0x0a000000 + i;
	r->addr.port = 7000;
	r->incarnation = 1796378755871;
	r->slots = 200;
	name_copy(r->dc, "plzen", sizeof(r->dc));
}

static void
measure_members(int count)
{
	struct msg *m = msg_create(MSG_MEMBERS);
	char name[64];
	int i;

	name_copy(m->u.members.service, "pump-records", NAME_LEN);
	m->u.members.sent_us = 123456789012;
	m->u.members.records = xcalloc(count + 1, sizeof(struct member_record));
	m->u.members.count = count;
	for (i = 0; i < count; i++)
		fill_member(&m->u.members.records[i], i);
	snprintf(name, sizeof(name), "members-%d", count);
	measure(name, m);
}

static void
measure_share(int count)
{
	struct msg *m = msg_create(MSG_SHARE);
	struct share *s = &m->u.share;
	char name[64];
	int i;

	s->incarnation = 1796378755871;
	s->sent_us = 123456789012;
	s->ttl_us = 10000000;
	s->count = count;
	for (i = 0; i < count; i++) {
		snprintf(s->items[i].org, NAME_LEN, "organisation-%d", i);
		s->items[i].rate = 10.5;
		s->items[i].burst = 3.25;
		s->items[i].demand = 9.75;
		s->items[i].grant_number = 1000;
	}
	snprintf(name, sizeof(name), "share-%d", count);
	measure(name, m);
}

int
main(void)
{
	struct msg *m;

	printf(
	    "%-24s %8s %10s %10s\n", "kind", "bytes", "encode_ns", "decode_ns");
	m = msg_create(MSG_MEMBERS_ASK);
	name_copy(m->u.members_ask.service, "pump-records", NAME_LEN);
	m->u.members_ask.digest = UINT64_MAX;
	m->u.members_ask.sent_us = 123456789012;
	m->u.members_ask.is_target = true;
	fill_member(&m->u.members_ask.self, 1);
	measure("members-ask", m);
	measure_members(0);
	measure_members(4);
	measure_members(16);
	measure_members(64);
	m = msg_create(MSG_CONFIG_ASK);
	m->u.config.version = 11000;
	m->u.config.epoch = 100;
	m->u.config.incarnation = 1796378755871;
	measure("config-ask", m);
	m = msg_create(MSG_CONFIG);
	m->u.config.version = 11000;
	m->u.config.digest = UINT64_MAX;
	m->u.config.base_version = 10999;
	m->u.config.prefix_bytes = 200000;
	m->u.config.suffix_bytes = 100000;
	buffer_set(
	    &m->u.config.text, "0123456789012345678901234567890123456789", 40);
	measure("config-change", m);
	measure_share(1);
	measure_share(8);
	measure_share(64);
	m = msg_create(MSG_FORWARD);
	name_copy(m->u.forward.service, "pump-records", NAME_LEN);
	name_copy(m->u.forward.request.path, "/records/17", PATH_LEN);
	buffer_set(&m->u.forward.request.body, "0123456789", 10);
	measure("forward", m);
	m = msg_create(MSG_REPLY);
	m->u.reply.status = 200;
	buffer_set(&m->u.reply.body, "0123456789", 10);
	measure("reply", m);
	return 0;
}
