#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <sys/random.h>
#include <sys/stat.h>
#include <unistd.h>

#include "ctl.h"
#include "internal/names.h"

/* 256 bits; a plain digest of a key must not be open to trying keys. */
#define KEY_BYTES 32
/* 128 bits in base64. */
#define KEY_MIN_LENGTH 22
#define KEY_MAX_LENGTH 512
#define KEY_NAME_MAX   31

static int print_line(const struct ctl_options *o, const char *key)
{
	const char *name = o->key_name ? o->key_name : "key";
	uint8_t digest[CG_DIGEST_SIZE];
	char hex[CG_DIGEST_HEX_SIZE];

	if (!cg_name_valid(name) || strlen(name) > KEY_NAME_MAX)
		return -1;
	cg_key_digest(key, digest);
	cg_digest_format(digest, hex);
	return printf("\"%s\": \"sha256:%s\"\n", name, hex) < 0 ? -1 : 0;
}

static bool check_key_name(const struct ctl_options *o)
{
	if (!o->key_name ||
	    (cg_name_valid(o->key_name) && strlen(o->key_name) <= KEY_NAME_MAX))
		return true;
	fprintf(stderr,
		"celerygladectl: --name must have 1 to %d letters, "
		"digits, \".\", \"_\" or \"-\"\n",
		KEY_NAME_MAX);
	return false;
}

/* Returns a key in base64 with the URL alphabet; the caller wipes it. */
static char *make_key(void)
{
	uint8_t raw[KEY_BYTES];
	char *text;

	if (getrandom(raw, sizeof(raw), 0) != (ssize_t)sizeof(raw))
		return NULL;
	text = g_base64_encode(raw, sizeof(raw));
	explicit_bzero(raw, sizeof(raw));
	g_strdelimit(text, "+", '-');
	g_strdelimit(text, "/", '_');
	g_strdelimit(text, "=", '\0');
	return text;
}

static void wipe(char *text)
{
	if (!text)
		return;
	explicit_bzero(text, strlen(text));
	g_free(text);
}

/* Writes the key to a new file; an existing file is never replaced, since it
 * may hold a key that is in use. */
static int write_key_file(const char *path, const char *key)
{
	int fd =
		open(path, O_WRONLY | O_CREAT | O_EXCL | O_NOFOLLOW | O_CLOEXEC,
		     0600);
	size_t n = strlen(key);

	if (fd < 0)
		return -1;
	if (fchmod(fd, 0600) || write(fd, key, n) != (ssize_t)n ||
	    write(fd, "\n", 1) != 1 || fsync(fd)) {
		close(fd);
		unlink(path);
		return -1;
	}
	return close(fd);
}

enum ctl_exit ctl_key_new(const struct ctl_options *o)
{
	enum ctl_exit rc = CTL_FAULT;
	char *key;

	if (!o->out_file) {
		fprintf(stderr, "celerygladectl: --out is missing\n");
		return CTL_FAULT;
	}
	if (!check_key_name(o))
		return CTL_FAULT;
	key = make_key();
	if (!key)
		return CTL_FAULT;
	if (write_key_file(o->out_file, key))
		fprintf(stderr, "celerygladectl: %s: %s\n", o->out_file,
			g_strerror(errno));
	else if (!print_line(o, key))
		rc = CTL_OK;
	wipe(key);
	return rc;
}

static const char *key_fault(const char *key)
{
	size_t n = strlen(key);

	if (n < KEY_MIN_LENGTH)
		return "is too short: 128 random bits need at least 22 "
		       "characters";
	if (n > KEY_MAX_LENGTH)
		return "is too long";
	for (size_t i = 0; i < n; i++)
		if (!g_ascii_isgraph(key[i]))
			return "must have printable ASCII characters without "
			       "spaces";
	return NULL;
}

enum ctl_exit ctl_key_digest(const struct ctl_options *o)
{
	char line[KEY_MAX_LENGTH + 3];
	enum ctl_exit rc = CTL_FAULT;
	const char *fault;

	if (!check_key_name(o))
		return CTL_FAULT;
	if (!fgets(line, sizeof(line), stdin))
		line[0] = '\0';
	g_strchomp(line);
	fault = key_fault(line);
	if (fault)
		fprintf(stderr, "celerygladectl: the key %s\n", fault);
	else if (!print_line(o, line))
		rc = CTL_OK;
	explicit_bzero(line, sizeof(line));
	return rc;
}
