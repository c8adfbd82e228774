#include "internal/address.h"

#include <arpa/inet.h>
#include <glib.h>
#include <string.h>

int cg_parse_address(const char *text, struct sockaddr_in *out)
{
	const char *colon = strrchr(text, ':');
	char host[INET_ADDRSTRLEN];
	size_t n = colon ? (size_t)(colon - text) : 0;
	guint64 port;

	if (!colon || n >= sizeof(host))
		return -1;
	memcpy(host, text, n);
	host[n] = '\0';
	memset(out, 0, sizeof(*out));
	out->sin_family = AF_INET;
	if (inet_pton(AF_INET, host, &out->sin_addr) != 1)
		return -1;
	if (!g_ascii_string_to_unsigned(colon + 1, 10, 1, 65535, &port, NULL))
		return -1;
	out->sin_port = htons((uint16_t)port);
	return 0;
}

void cg_format_address(const struct sockaddr_in *a, char *out, size_t size)
{
	char host[INET_ADDRSTRLEN] = "";

	inet_ntop(AF_INET, &a->sin_addr, host, sizeof(host));
	g_snprintf(out, (gulong)size, "%s:%u", host,
		   (unsigned int)ntohs(a->sin_port));
}
