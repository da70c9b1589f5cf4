#include <string.h>
#include <strings.h>

#include "wire/httpmap.h"

int
httpmap_reason_status(enum reason reason)
{
	switch (reason) {
	case REASON_BAD_REQUEST:
	case REASON_NO_ROUTE:
		return 400;
	case REASON_NO_KEY:
		return 401;
	case REASON_KEY_REFUSED:
	case REASON_NOT_DEPENDENCY:
		return 403;
	case REASON_ID_EXPIRED:
	case REASON_ANSWER_GONE:
		return 409;
	case REASON_OVER_RATE:
		return 429;
	case REASON_TARGET_FAILED:
	case REASON_LINK_LOST:
	case REASON_OWNER_LOST:
		return 502;
	case REASON_DEADLINE:
		return 504;
	default:
		return 503;
	}
}

/* Headers of one connection, and headers that the daemon sets itself. */
static const char *const not_forwarded[] = {
    "Authorization",
    "Connection",
    "Content-Length",
    "Date",
    "Expect",
    "Host",
    "Idempotency-Key",
    "Keep-Alive",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "Proxy-Connection",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
};

bool
httpmap_is_forwarded(const char *name)
{
	size_t i;

	if (strncasecmp(name, HEADER_PREFIX, strlen(HEADER_PREFIX)) == 0)
		return false;
	for (i = 0; i < sizeof(not_forwarded) / sizeof(not_forwarded[0]); i++) {
		if (strcasecmp(name, not_forwarded[i]) == 0)
			return false;
	}
	return true;
}
