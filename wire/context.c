#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "wire/context.h"

/*
 * The value is "TREE.JOB.MAC" in hexadecimal: the payload "TREE.JOB" of 16
 * digits, a dot and 16 digits, another dot, and two digits a byte of the MAC.
 */
#define TREE_DIGITS 16 /* of the tree's number, and of the job's */
#define PAYLOAD_CHARS (2 * TREE_DIGITS + 1)
#define MAC_OFFSET (PAYLOAD_CHARS + 1) /* characters before the MAC */
#define PAYLOAD_BUFFER_BYTES 35 /* holds the payload and its NUL */
#define MAC_BYTES 16

static void
compute_mac(const uint8_t *key, const char *payload, uint8_t *mac)
{
	crypto_generichash(mac, MAC_BYTES, (const uint8_t *)payload,
	    strlen(payload), key, CONTEXT_KEY_LEN);
}

void
context_write(
    const uint8_t *key, const struct call_context *c, char *text, size_t len)
{
	char payload[PAYLOAD_BUFFER_BYTES], hex[2 * MAC_BYTES + 1];
	uint8_t mac[MAC_BYTES];

	snprintf(payload, sizeof(payload), "%016" PRIx64 ".%016" PRIx64,
	    c->tree_id, c->job);
	compute_mac(key, payload, mac);
	sodium_bin2hex(hex, sizeof(hex), mac, sizeof(mac));
	snprintf(text, len, "%s.%s", payload, hex);
}

bool
context_read(const uint8_t *key, const char *text, struct call_context *c)
{
	char payload[PAYLOAD_BUFFER_BYTES];
	uint8_t mac[MAC_BYTES], expected[MAC_BYTES];
	size_t mac_len;

	memset(c, 0, sizeof(*c));
	if (strlen(text) != MAC_OFFSET + 2 * MAC_BYTES ||
	    text[TREE_DIGITS] != '.' || text[PAYLOAD_CHARS] != '.')
		return false;
	if (sodium_hex2bin(mac, sizeof(mac), text + MAC_OFFSET, 2 * MAC_BYTES,
		NULL, &mac_len, NULL) != 0 ||
	    mac_len != MAC_BYTES)
		return false;
	memcpy(payload, text, PAYLOAD_CHARS);
	payload[PAYLOAD_CHARS] = '\0';
	compute_mac(key, payload, expected);
	if (sodium_memcmp(mac, expected, MAC_BYTES) != 0)
		return false;
	return sscanf(payload, "%16" SCNx64 ".%16" SCNx64, &c->tree_id,
		   &c->job) == 2;
}
