/* GLib is built without ThreadSanitizer, which does not see its locks and
 * reports a data race for every item passed through a GAsyncQueue. With
 * SAN=thread these functions replace GLib's queue; they use POSIX locks, which
 * ThreadSanitizer intercepts. For the same reason such tests run with
 * G_SLICE=always-malloc in the environment. */
#include <glib.h>

#ifdef __SANITIZE_THREAD__
#include <pthread.h>

const char *__tsan_default_suppressions(void);

/* Threads race on a static buffer in libtirpc, which decodes the padding after
 * opaque data into it. The buffer is never read. */
__attribute__((weak)) const char *__tsan_default_suppressions(void)
{
	return "called_from_lib:libtirpc.so\n";
}

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t not_empty = PTHREAD_COND_INITIALIZER;
static GHashTable *queues;

static GQueue *find_or_create_queue(GAsyncQueue *q)
{
	GQueue *found;

	if (!queues)
		queues = g_hash_table_new(NULL, NULL);
	found = g_hash_table_lookup(queues, q);
	if (!found) {
		found = g_queue_new();
		g_hash_table_insert(queues, q, found);
	}
	return found;
}

__attribute__((weak)) void g_async_queue_push(GAsyncQueue *q, gpointer data)
{
	pthread_mutex_lock(&lock);
	g_queue_push_tail(find_or_create_queue(q), data);
	pthread_cond_broadcast(&not_empty);
	pthread_mutex_unlock(&lock);
}

__attribute__((weak)) gpointer g_async_queue_pop(GAsyncQueue *q)
{
	gpointer data;

	pthread_mutex_lock(&lock);
	while (g_queue_is_empty(find_or_create_queue(q)))
		pthread_cond_wait(&not_empty, &lock);
	data = g_queue_pop_head(find_or_create_queue(q));
	pthread_mutex_unlock(&lock);
	return data;
}

__attribute__((weak)) gint g_async_queue_length(GAsyncQueue *q)
{
	gint n;

	pthread_mutex_lock(&lock);
	n = (gint)g_queue_get_length(find_or_create_queue(q));
	pthread_mutex_unlock(&lock);
	return n;
}
#endif
