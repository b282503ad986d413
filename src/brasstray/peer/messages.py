"""Define the union of all messages between entry hosts."""

from __future__ import annotations

from typing import Annotated

from pydantic import Field

from brasstray.peer.message.acknowledgement import Acknowledgement
from brasstray.peer.message.answer_reply import AnswerReply
from brasstray.peer.message.bind_key import BindKey
from brasstray.peer.message.borrow_slots import BorrowSlots
from brasstray.peer.message.borrow_slots_reply import BorrowSlotsReply
from brasstray.peer.message.cancel import Cancel
from brasstray.peer.message.drop_copies import DropCopies
from brasstray.peer.message.fence_reply import FenceReply
from brasstray.peer.message.fence_term import FenceTerm
from brasstray.peer.message.fetch import Fetch
from brasstray.peer.message.grant_slots import GrantSlots
from brasstray.peer.message.heartbeat import Heartbeat
from brasstray.peer.message.hold_copies import HoldCopies
from brasstray.peer.message.hold_reply import HoldReply
from brasstray.peer.message.journal_refusal import JournalRefusal
from brasstray.peer.message.journal_reply import JournalReply
from brasstray.peer.message.look_up import LookUp
from brasstray.peer.message.record_answer import RecordAnswer
from brasstray.peer.message.submit import Submit
from brasstray.peer.message.table_reply import TableReply
from brasstray.peer.message.table_request import TableRequest

Message = Annotated[
    Heartbeat
    | TableRequest
    | TableReply
    | BorrowSlots
    | BorrowSlotsReply
    | GrantSlots
    | Submit
    | Fetch
    | Cancel
    | AnswerReply
    | BindKey
    | RecordAnswer
    | LookUp
    | JournalReply
    | JournalRefusal
    | HoldCopies
    | DropCopies
    | FenceTerm
    | HoldReply
    | FenceReply
    | Acknowledgement,
    Field(discriminator="kind"),
]

__all__ = [
    "Acknowledgement",
    "AnswerReply",
    "BindKey",
    "BorrowSlots",
    "BorrowSlotsReply",
    "Cancel",
    "DropCopies",
    "FenceReply",
    "FenceTerm",
    "Fetch",
    "GrantSlots",
    "Heartbeat",
    "HoldCopies",
    "HoldReply",
    "JournalRefusal",
    "JournalReply",
    "LookUp",
    "Message",
    "RecordAnswer",
    "Submit",
    "TableReply",
    "TableRequest",
]
