import unittest

from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.exceptions import ConflictError, SettingsError
from fuchsiahatch_placement import documents
from tests.placement.samples import change, document_of, record_v1


class TestReadDocument(unittest.TestCase):
    def test_absent_key_is_revision_0(self):
        self.assertEqual(documents.read_document(b""), documents.EMPTY_DOCUMENT)

    def test_what_was_written_is_read(self):
        document = document_of(3, record_v1(), record_v1("gym-subang"))
        value = documents.write_document(document)
        self.assertEqual(documents.read_document(value), document)

    def test_broken_documents_are_coded(self):
        broken = (b"\xff", b"{", b"[]", b'{"revision": 1}', b'{"revision": 1, "x": 2}')
        more = (b'{"revision":1,"history":[],"records":[1,]}', b"{} {}", b'{"a" 1}')
        broken = (*broken, *more)
        wrong = b'{"revision": 1, "history": [], "records": 7}'
        for value in (*broken, wrong, b'{"revision":1,"history":[{}],"records":[]}'):
            with self.subTest(value), self.assertRaises(SettingsError):
                documents.read_document(value)


class TestWriteDocument(unittest.TestCase):
    def test_too_large_is_refused_before_the_service_sees_it(self):
        document = documents.Document(1, (), ('"' + "x" * 1_000_000 + '"',))
        with self.assertRaises(SettingsError) as seen:
            documents.write_document(document)
        self.assertIs(seen.exception.result, Code.DOCUMENT_TOO_LARGE)


class TestNextDocument(unittest.TestCase):
    def test_history_is_bounded_and_keeps_the_newest(self):
        document = documents.EMPTY_DOCUMENT
        for number in range(documents.HISTORY_LENGTH + 5):
            document = documents.next_document(document, number, change(number), ())
        self.assertEqual(len(document.history), documents.HISTORY_LENGTH)
        self.assertEqual(document.change_id, f"change-{documents.HISTORY_LENGTH + 4}")
        self.assertIsNone(documents.change_id_at(document.history, 5))

    def test_other_revision_than_read_is_a_conflict(self):
        with self.assertRaises(ConflictError) as seen:
            documents.next_document(document_of(4), 3, change(1), ())
        self.assertIs(seen.exception.result, Code.CONFLICT)


class TestRepublish(unittest.TestCase):
    def test_stands_above_all_that_was_in_force(self):
        """A restored backup can't be mended, as its next numbers are used up.

        The service is set back from 7 to 4. A change written on top would be
        revision 5, which every entry takes for older than what it holds.
        """
        held = document_of(7, record_v1())
        base = document_of(4)
        with self.assertRaises(ConflictError) as seen:
            documents.check_no_revert(base, held.revision)
        self.assertIs(seen.exception.result, Code.REVERT_REFUSED)
        mended = documents.republish(base, held, change(8))
        self.assertEqual(mended.revision, 8)
        self.assertEqual(mended.records, held.records)
