/* GLib's locks are built without ThreadSanitizer, so that it reports every
 * hand-over through a GAsyncQueue as a race. Under SAN=thread the tests use
 * these functions with POSIX locks, which it knows, in place of GLib's. For the
 * same reason such tests run with G_SLICE=always-malloc in the environment. */
#include <glib.h>

#ifdef __SANITIZE_THREAD__
#include <pthread.h>

const char *__tsan_default_suppressions(void);

/* libtirpc decodes the padding after opaque data into one static buffer that
 * nobody reads. */
__attribute__((weak)) const char *__tsan_default_suppressions(void)
{
	return "called_from_lib:libtirpc.so\n";
}

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t filled = PTHREAD_COND_INITIALIZER;
static GHashTable *queues;

static GQueue *queue_of(GAsyncQueue *q)
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
	g_queue_push_tail(queue_of(q), data);
	pthread_cond_broadcast(&filled);
	pthread_mutex_unlock(&lock);
}

__attribute__((weak)) gpointer g_async_queue_pop(GAsyncQueue *q)
{
	gpointer data;

	pthread_mutex_lock(&lock);
	while (g_queue_is_empty(queue_of(q)))
		pthread_cond_wait(&filled, &lock);
	data = g_queue_pop_head(queue_of(q));
	pthread_mutex_unlock(&lock);
	return data;
}

__attribute__((weak)) gint g_async_queue_length(GAsyncQueue *q)
{
	gint n;

	pthread_mutex_lock(&lock);
	n = (gint)g_queue_get_length(queue_of(q));
	pthread_mutex_unlock(&lock);
	return n;
}
#endif
