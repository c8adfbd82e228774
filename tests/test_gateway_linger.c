/* Guards against a connection that is reset before its peer has received a
 * response, and against one that is kept for a peer that never closes. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
/* cmocka needs the headers above it. */
#include <cmocka.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../src/gateway/linger.h"

#define LONG_TEXT 200000
#define WINDOW	  4096
#define STEP_MS	  20
#define WAIT_MS	  3000
#define PAIRS	  3

struct fixture {
	struct cg_clock clk;
	struct cgw_loop *loop;
	struct cgw_linger linger;
	int listener;
};

static void setup(struct fixture *f, unsigned int max)
{
	struct sockaddr_in a = { .sin_family = AF_INET,
				 .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };

	cg_clock_init_boot(&f->clk);
	f->loop = cgw_loop_new(&f->clk);
	cgw_linger_init(&f->linger, f->loop, max);
	f->listener = socket(AF_INET, SOCK_STREAM, 0);
	assert_int_equal(bind(f->listener, (struct sockaddr *)&a, sizeof(a)),
			 0);
	assert_int_equal(listen(f->listener, PAIRS), 0);
	cgw_loop_step(f->loop, 0);
}

static void teardown(struct fixture *f)
{
	cgw_linger_clear(&f->linger);
	cgw_loop_free(f->loop);
	close(f->listener);
}

/* Returns the peer's end and sets @fd to the own one. */
static int connect_peer(struct fixture *f, int *fd)
{
	struct sockaddr_in a;
	socklen_t len = sizeof(a);
	int peer = socket(AF_INET, SOCK_STREAM, 0);
	int window = WINDOW;

	setsockopt(peer, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
	getsockname(f->listener, (struct sockaddr *)&a, &len);
	assert_int_equal(connect(peer, (struct sockaddr *)&a, sizeof(a)), 0);
	*fd = accept(f->listener, NULL, NULL);
	assert_true(*fd >= 0);
	return peer;
}

/* Lingers on @fd and closes it, as libmicrohttpd does. */
static void end(struct fixture *f, int fd)
{
	cgw_linger_add(&f->linger, fd);
	close(fd);
}

static void step_until_empty(struct fixture *f, int ms)
{
	for (int i = 0; i < ms / STEP_MS && f->linger.count; i++)
		cgw_loop_step(f->loop, STEP_MS);
}

static void peer_that_sends_receives_everything(void **state)
{
	static char text[LONG_TEXT];
	struct fixture f;
	size_t total = 0;
	ssize_t n;
	int fd, peer;

	(void)state;
	setup(&f, PAIRS);
	peer = connect_peer(&f, &fd);
	assert_int_equal(send(peer, "unread", 6, 0), 6);
	assert_int_equal(send(fd, text, sizeof(text), MSG_DONTWAIT),
			 sizeof(text));
	end(&f, fd);
	assert_int_equal(f.linger.count, 1);
	while ((n = recv(peer, text, sizeof(text), 0)) > 0) {
		total += (size_t)n;
		assert_int_equal(send(peer, "more", 4, MSG_NOSIGNAL), 4);
		cgw_loop_step(f.loop, 0);
	}
	assert_int_equal(n, 0);
	assert_int_equal(total, LONG_TEXT);
	close(peer);
	step_until_empty(&f, WAIT_MS);
	assert_int_equal(f.linger.count, 0);
	teardown(&f);
}

static void silent_peer_is_not_kept(void **state)
{
	struct fixture f;
	int fd, peer;

	(void)state;
	setup(&f, PAIRS);
	peer = connect_peer(&f, &fd);
	end(&f, fd);
	assert_int_equal(f.linger.count, 1);
	step_until_empty(&f, WAIT_MS);
	assert_int_equal(f.linger.count, 0);
	close(peer);
	teardown(&f);
}

static void peer_that_has_closed_is_not_kept(void **state)
{
	struct fixture f;
	int fd, peer;

	(void)state;
	setup(&f, PAIRS);
	peer = connect_peer(&f, &fd);
	assert_int_equal(send(peer, "unread", 6, 0), 6);
	close(peer);
	end(&f, fd);
	assert_int_equal(f.linger.count, 0);
	teardown(&f);
}

static void number_of_connections_is_bounded(void **state)
{
	struct fixture f;
	int peers[PAIRS];
	char byte;

	(void)state;
	setup(&f, PAIRS - 1);
	for (int i = 0; i < PAIRS; i++) {
		int fd;

		peers[i] = connect_peer(&f, &fd);
		end(&f, fd);
	}
	assert_int_equal(f.linger.count, PAIRS - 1);
	for (int i = 0; i < PAIRS; i++) {
		assert_int_equal(recv(peers[i], &byte, 1, 0), 0);
		close(peers[i]);
	}
	teardown(&f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(peer_that_sends_receives_everything),
		cmocka_unit_test(silent_peer_is_not_kept),
		cmocka_unit_test(peer_that_has_closed_is_not_kept),
		cmocka_unit_test(number_of_connections_is_bounded),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
