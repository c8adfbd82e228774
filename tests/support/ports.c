#include "ports.h"

#include <arpa/inet.h>
#include <glib.h>
#include <stdbool.h>
#include <sys/socket.h>
#include <unistd.h>

#define LOWEST 21000
#define COUNT  1000

static bool is_free(int port, int type)
{
	struct sockaddr_in a = { .sin_family = AF_INET,
				 .sin_port = htons((uint16_t)port) };
	int fd = socket(AF_INET, type, 0);
	bool ok;

	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ok = fd >= 0 && !bind(fd, (struct sockaddr *)&a, sizeof(a));
	if (fd >= 0)
		close(fd);
	return ok;
}

uint16_t test_ports(int n)
{
	for (int i = 0; i < 1000; i++) {
		int base = LOWEST + g_random_int_range(0, COUNT - n);
		int k = 0;

		while (k < n && is_free(base + k, SOCK_STREAM) &&
		       is_free(base + k, SOCK_DGRAM))
			k++;
		if (k == n)
			return (uint16_t)base;
	}
	return 0;
}
