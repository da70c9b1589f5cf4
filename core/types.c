#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/hash.h"
#include "core/types.h"

enum importance
importance_combine(enum importance org, enum importance route)
{
	return (enum importance)(org * (IMPORTANCE_HIGH + 1) + route);
}

bool
uint_parse(const char **text, uint64_t max, uint64_t *out)
{
	const char *p = *text;
	uint64_t v = 0;

	if (*p < '0' || *p > '9')
		return false;
	for (; *p >= '0' && *p <= '9'; p++) {
		unsigned int digit = (unsigned int)(*p - '0');

		if (v > (max - digit) / 10 || digit > max)
			return false;
		v = v * 10 + digit;
	}
	*text = p;
	*out = v;
	return true;
}

bool
addr_equal(struct addr a, struct addr b)
{
	return a.ip == b.ip && a.port == b.port;
}

int
addr_cmp(struct addr a, struct addr b)
{
	if (a.ip != b.ip)
		return a.ip < b.ip ? -1 : 1;
	return a.port < b.port ? -1 : a.port > b.port;
}

uint64_t
addr_hash(struct addr a)
{
	return hash_mix(((uint64_t)a.ip << 16) | a.port);
}

void
buffer_set(struct buffer *b, const void *data, size_t len)
{
	char *copy = xcalloc(1, len + 1);

	if (len > 0)
		memcpy(copy, data, len);
	buffer_release(b);
	b->data = copy;
	b->len = len;
}

void
buffer_move(struct buffer *dst, struct buffer *src)
{
	buffer_release(dst);
	*dst = *src;
	memset(src, 0, sizeof(*src));
}

void
buffer_share(struct buffer *dst, struct buffer *src)
{
	buffer_release(dst);
	if (src->data != NULL && src->refs == NULL) {
		src->refs = xcalloc(1, sizeof(*src->refs));
		*src->refs = 1;
	}
	*dst = *src;
	if (dst->refs != NULL)
		++*dst->refs;
}

void
buffer_adopt(struct buffer *dst, char *data, size_t len)
{
	buffer_release(dst);
	dst->data = data;
	dst->len = len;
}

void
buffer_release(struct buffer *b)
{
	if (b->refs == NULL || --*b->refs == 0) {
		free(b->data);
		free(b->refs);
	}
	memset(b, 0, sizeof(*b));
}

void
name_copy(char *dst, const char *src, size_t n)
{
	size_t len = strlen(src);

	if (len >= n)
		len = n - 1;
	memcpy(dst, src, len);
	dst[len] = '\0';
}

void *
xcalloc(size_t n, size_t size)
{
	void *p = calloc(n, size);

	if (p == NULL)
		abort();
	return p;
}
