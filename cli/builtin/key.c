#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "cli/builtin.h"
#include "core/types.h"

#define KEY_BYTES 24 /* random bytes of a key, printed in hexadecimal */
#define MAX_KEY_LEN 512 /* bytes of a key on standard input, with its NUL */

static void
print_hash(const char *key)
{
	uint8_t hash[KEY_HASH_LEN];
	char hex[2 * KEY_HASH_LEN + 1];

	crypto_generichash(
	    hash, sizeof(hash), (const uint8_t *)key, strlen(key), NULL, 0);
	sodium_bin2hex(hex, sizeof(hex), hash, sizeof(hash));
	printf("key = %s\n", hex);
}

static int
hash_stdin(void)
{
	char key[MAX_KEY_LEN];

	if (fgets(key, sizeof(key), stdin) == NULL)
		return EXIT_NEGATIVE;
	key[strcspn(key, "\r\n")] = '\0';
	print_hash(key);
	sodium_memzero(key, sizeof(key));
	return 0;
}

int
cmd_key(int argc, char **argv)
{
	static gboolean hash_only;
	const GOptionEntry entries[] = {
	    {"hash", 0, 0, G_OPTION_ARG_NONE, &hash_only, NULL, NULL},
	    {NULL, 0, 0, 0, NULL, NULL, NULL},
	};
	uint8_t raw[KEY_BYTES];
	char key[2 * KEY_BYTES + 1];

	if (!builtin_options(entries, "key", &argc, &argv))
		return EXIT_USAGE;
	if (argc != 1)
		return builtin_usage("key");
	if (hash_only)
		return hash_stdin();
	randombytes_buf(raw, sizeof(raw));
	sodium_bin2hex(key, sizeof(key), raw, sizeof(raw));
	printf("for the caller:        %s\nfor the configuration: ", key);
	print_hash(key);
	return 0;
}
