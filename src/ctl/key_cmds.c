#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <sys/random.h>
#include <sys/stat.h>
#include <unistd.h>

#include "ctl.h"
#include "internal/names.h"

/* 256 bits. The folder holds a digest without a salt, and its key must not be
 * found by trying keys. */
#define KEY_RANDOM_BYTES 32
/* Characters that 128 bits take in base64. */
#define KEY_MIN_LENGTH 22
#define KEY_MAX_LENGTH 512
/* The limit that a folder has for the name of a key. */
#define KEY_NAME_MAX 31

static int print_key_line(const struct ctl_options *o, const char *key)
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

static bool check_name_option(const struct ctl_options *o)
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

/* Returns a random key in base64 with the URL alphabet, or NULL. The caller
 * calls wipe_and_free(). */
static char *generate_key(void)
{
	uint8_t raw[KEY_RANDOM_BYTES];
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

static void wipe_and_free(char *text)
{
	if (!text)
		return;
	explicit_bzero(text, strlen(text));
	g_free(text);
}

/* Writes the key to a new file. Fails if the file exists, because it may hold a
 * key that is in use. Returns 0 or -1. */
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
	enum ctl_exit rc = CTL_ERROR;
	char *key;

	if (!o->out_file) {
		fprintf(stderr, "celerygladectl: --out is missing\n");
		return CTL_ERROR;
	}
	if (!check_name_option(o))
		return CTL_ERROR;
	key = generate_key();
	if (!key)
		return CTL_ERROR;
	if (write_key_file(o->out_file, key))
		fprintf(stderr, "celerygladectl: %s: %s\n", o->out_file,
			g_strerror(errno));
	else if (!print_key_line(o, key))
		rc = CTL_OK;
	wipe_and_free(key);
	return rc;
}

/* Returns why the key is not acceptable, or NULL if it is. */
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
			return "must consist of printable ASCII characters "
			       "without spaces";
	return NULL;
}

enum ctl_exit ctl_key_digest(const struct ctl_options *o)
{
	char line[KEY_MAX_LENGTH + 3];
	enum ctl_exit rc = CTL_ERROR;
	const char *fault;

	if (!check_name_option(o))
		return CTL_ERROR;
	if (!fgets(line, sizeof(line), stdin))
		line[0] = '\0';
	g_strchomp(line);
	fault = key_fault(line);
	if (fault)
		fprintf(stderr, "celerygladectl: the key %s\n", fault);
	else if (!print_key_line(o, line))
		rc = CTL_OK;
	explicit_bzero(line, sizeof(line));
	return rc;
}
