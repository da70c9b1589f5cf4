#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "wire/context.h"

#define BODY_CHARS 35 /* "tree.job" in hexadecimal, 16 + 1 + 16, and room */
#define MAC_BYTES 16

static void
make_mac(const uint8_t *key, const char *body, uint8_t *mac)
{
	crypto_generichash(mac, MAC_BYTES, (const uint8_t *)body, strlen(body),
	    key, CONTEXT_KEY_LEN);
}

void
context_write(
    const uint8_t *key, const struct call_context *c, char *text, size_t len)
{
	char body[BODY_CHARS], hex[2 * MAC_BYTES + 1];
	uint8_t mac[MAC_BYTES];

	snprintf(
	    body, sizeof(body), "%016" PRIx64 ".%016" PRIx64, c->tree, c->job);
	make_mac(key, body, mac);
	sodium_bin2hex(hex, sizeof(hex), mac, sizeof(mac));
	snprintf(text, len, "%s.%s", body, hex);
}

bool
context_read(const uint8_t *key, const char *text, struct call_context *c)
{
	char body[BODY_CHARS];
	uint8_t mac[MAC_BYTES], want[MAC_BYTES];
	size_t got;

	memset(c, 0, sizeof(*c));
	if (strlen(text) != 34 + 2 * MAC_BYTES || text[16] != '.' ||
	    text[33] != '.')
		return false;
	if (sodium_hex2bin(mac, sizeof(mac), text + 34, 2 * MAC_BYTES, NULL,
		&got, NULL) != 0 ||
	    got != MAC_BYTES)
		return false;
	memcpy(body, text, 33);
	body[33] = '\0';
	make_mac(key, body, want);
	if (sodium_memcmp(mac, want, MAC_BYTES) != 0)
		return false;
	return sscanf(body, "%16" SCNx64 ".%16" SCNx64, &c->tree, &c->job) == 2;
}
